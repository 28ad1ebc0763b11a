package bundle

// Identity is the organisation that an API key belongs to.
type Identity struct {
	Tenant       string
	Organisation string
}

// Index holds the lookup tables for request handling. It is immutable.
type Index struct {
	Document *Document
	Digest   string
	keys     map[string]Identity
	models   map[string]Model
	routes   map[string]Route
	tenants  map[string]Tenant
}

// NewIndex builds the lookup tables of a valid document. The digest is that of
// its encoded content.
func NewIndex(doc *Document, digest string) *Index {
	ix := &Index{
		Document: doc,
		Digest:   digest,
		keys:     make(map[string]Identity),
		models:   make(map[string]Model, len(doc.Models)),
		routes:   make(map[string]Route, len(doc.Routes)),
		tenants:  make(map[string]Tenant, len(doc.Tenants)),
	}
	for _, t := range doc.Tenants {
		ix.tenants[t.Name] = t
		for _, o := range t.Organisations {
			for _, digest := range o.APIKeySHA256 {
				ix.keys[digest] = Identity{Tenant: t.Name, Organisation: o.Name}
			}
		}
	}
	for _, m := range doc.Models {
		ix.models[m.Name] = m
	}
	for _, r := range doc.Routes {
		ix.routes[r.Name] = r
	}
	return ix
}

// Version returns the version of the document.
func (ix *Index) Version() int64 { return ix.Document.Version }

// Identify returns the organisation that an API key belongs to.
func (ix *Index) Identify(apiKey string) (Identity, bool) {
	id, ok := ix.keys[APIKeyDigest(apiKey)]
	return id, ok
}

// Model returns a model by name.
func (ix *Index) Model(name string) (Model, bool) {
	m, ok := ix.models[name]
	return m, ok
}

// Route returns a route by name.
func (ix *Index) Route(name string) (Route, bool) {
	r, ok := ix.routes[name]
	return r, ok
}

// Tenant returns a tenant by name.
func (ix *Index) Tenant(name string) (Tenant, bool) {
	t, ok := ix.tenants[name]
	return t, ok
}
