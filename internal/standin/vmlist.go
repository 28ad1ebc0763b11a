package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// VMList serves the platform's list of VMs.
type VMList struct {
	faultInjector
	mux *http.ServeMux

	mu   sync.Mutex
	list vmlist.List
	// reads counts the reads that got a response.
	reads int
}

// NewVMList returns a list with the given VMs.
func NewVMList(vms ...vmlist.VM) *VMList {
	s := &VMList{mux: http.NewServeMux(), list: vmlist.List{Revision: 1, VMs: vms}}
	s.mux.HandleFunc("PUT "+faultsPath, s.serveFaults)
	s.mux.HandleFunc("GET /v1/vms", s.get)
	s.mux.HandleFunc("PUT /v1/vms/{id}", s.put)
	s.mux.HandleFunc("DELETE /v1/vms/{id}", func(_ http.ResponseWriter, r *http.Request) { s.Remove(r.PathValue("id")) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Reads returns the number of reads that got a response.
func (s *VMList) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Put adds or replaces a VM.
func (s *VMList) Put(vm vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Revision++
	s.list.VMs = append(withoutVM(s.list.VMs, vm.ID), vm)
}

// Remove deletes a VM.
func (s *VMList) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Revision++
	s.list.VMs = withoutVM(s.list.VMs, id)
}

// SetState changes the state of a VM.
func (s *VMList) SetState(id string, state vmlist.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := append([]vmlist.VM(nil), s.list.VMs...)
	for i := range vms {
		if vms[i].ID == id {
			vms[i].State = state
		}
	}
	s.list.Revision++
	s.list.VMs = vms
}

func withoutVM(vms []vmlist.VM, id string) []vmlist.VM {
	out := make([]vmlist.VM, 0, len(vms)+1)
	for _, vm := range vms {
		if vm.ID != id {
			out = append(out, vm)
		}
	}
	return out
}

func (s *VMList) get(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	known, _ := strconv.ParseInt(r.URL.Query().Get("known"), 10, 64)
	s.mu.Lock()
	list := s.list
	s.reads++
	s.mu.Unlock()
	if known == list.Revision {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	WriteJSON(w, list)
}

func (s *VMList) put(w http.ResponseWriter, r *http.Request) {
	var vm vmlist.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = r.PathValue("id")
	s.Put(vm)
}
