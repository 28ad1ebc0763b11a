package vanillaarch

import (
	"cmp"

	"golang.org/x/sys/unix"

	"github.com/vanillaarch/vanillaarch/config"
)

// vmLimits returns the memory and the descriptors of the VM: the configured ones, or else those
// that the kernel reports. A value that is not known is 0.
func vmLimits(c config.Limits) config.VMLimits {
	return config.VMLimits{
		MemoryBytes: cmp.Or(c.MemoryBytes, machineMemory()),
		Files:       cmp.Or(c.Descriptors, descriptorLimit()),
	}
}

func machineMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// maxDescriptors bounds the soft limit of the process, which may be unlimited.
const maxDescriptors = 1 << 20

func descriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}
