package platform_test

import (
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// beforeRestart is the time from the third crash to the restart of a VM.
const beforeRestart = 1500 * time.Millisecond

// restartOneVM makes a VM stop beforeRestart after the third crash, and another start under
// its name. How requests end that a VM gets while it is not in touch is not checked; what it
// sends to servers is.
func (l *crashingLoad) restartOneVM() {
	const restarted = 0
	l.soundVMs = []int{1, 2}
	var again time.Time
	l.beside = func(l *crashingLoad) {
		l.awaitNoticed()
		time.Sleep(beforeRestart)
		l.loads[0].restart(restarted)
		again = time.Now()
	}
	name := l.site.vms[restarted].Name
	l.excused = func(r offeredRequest) bool {
		stopping := l.noticed().Add(beforeRestart)
		return r.vm == name && r.sentAt.After(stopping) && r.sentAt.Before(again.Add(contactBound))
	}
}

// Guards against a VM that starts and sends servers a request that has crashed three.
func TestGetThatCrashesServersBesideARestartOfAVM(t *testing.T) {
	l := plainCrashes(t, crashingGet)
	l.restartOneVM()
	l.run()
}

// Guards against the same by a stream.
func TestStreamThatCrashesEnginesBesideARestartOfAVM(t *testing.T) {
	l := streamCrashes(t, crashingStreamWithoutParts)
	l.restartOneVM()
	l.run()
}

// storeSilence is the time for which the store answers nothing. It begins with the first
// request that crashes servers and is shorter than the bound of revocation.
const storeSilence = 8 * time.Second

// silenceStore makes the store answer no VM for a while. Servers that are back are unknown
// until it answers again.
func (l *crashingLoad) silenceStore() {
	l.beside = func(l *crashingLoad) {
		l.store.SetFaults(userplatform.StoreFaults{Silent: []string{"*"}})
		time.Sleep(storeSilence)
		l.store.SetFaults(userplatform.StoreFaults{})
	}
}

// serversBesideSilence is the number of servers of a service of which three may be unknown
// as long as the store is silent.
const serversBesideSilence = 8

// Guards against VMs that need the store to tell each other of a request that crashes
// servers.
func TestGetThatCrashesServersWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	l := newCrashingLoad(t, crashingGet, options{plainServers: serversBesideSilence})
	l.sound = plainSound(crashingGet)
	l.silenceStore()
	l.run()
}

// Guards against the same by a stream.
func TestStreamThatCrashesEnginesWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	l := newCrashingLoad(t, crashingStreamWithoutParts, options{engines: serversBesideSilence})
	l.sound = streamSound(crashingStreamWithoutParts, "")
	l.silenceStore()
	l.run()
}
