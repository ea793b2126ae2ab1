package main

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/dustin/go-humanize"

	"pimentorelay.example/pimento"
)

const (
	// runtimeShare is the share of the memory of a process that Go's runtime may use: the rest
	// is for the program itself and for what the runtime needs while it collects garbage.
	runtimeShare = 0.75
	// reservedDescriptors are those for files, other processes and the store.
	reservedDescriptors = 200
	// callersDescriptorShare is the share of the other descriptors that callers may have; the
	// rest is for upstreams.
	callersDescriptorShare = 0.7
	// minConnections is the least number of connections of callers.
	minConnections = 16
)

// memoryLimitFiles are where the system says how much memory a control group may use.
var memoryLimitFiles = []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"}

// parseMemory returns the size in a setting, in bytes, and what the system allows if that is
// empty.
func parseMemory(v *pimento.ValidationError, flag, text string) int64 {
	if text == "" {
		return systemMemory()
	}
	n, err := humanize.ParseBytes(text)
	if err != nil || n == 0 || n > math.MaxInt64 {
		v.Add(flag, text, "a size above zero, such as 184MiB")
		return 0
	}
	return int64(n)
}

// systemMemory returns the memory of the machine or of the control group, whichever is less, in
// bytes; zero if neither is known.
func systemMemory() int64 {
	total := machineMemory()
	for _, path := range memoryLimitFiles {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // another version of control groups, or none
		}
		n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		if err == nil && n > 0 && (total == 0 || n < total) {
			total = n
		}
	}
	return total
}

// machineMemory returns the memory of the machine in bytes, zero if it is not known.
func machineMemory() int64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var kib int64
		if n, err := fmt.Sscanf(s.Text(), "MemTotal: %d kB", &kib); err == nil && n == 1 {
			return kib << 10
		}
	}
	return 0
}

// limitRuntime makes Go's runtime collect garbage before the process exceeds its memory.
func limitRuntime(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memory)))
	}
}

// callerConnections returns how many connections callers may have by the number of descriptors
// of the process; zero: by that of the system.
func callerConnections(descriptors int) int {
	if descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return 0
		}
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return max(minConnections, int(callersDescriptorShare*float64(descriptors-reservedDescriptors)))
}
