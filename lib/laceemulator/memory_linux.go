package laceemulator

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// PeakMemory returns the peak resident memory of a process in bytes.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "emulator")
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kilobytes << 10, errors.Wrap(err, "emulator")
		}
	}
	return 0, errors.New("emulator: no peak memory")
}

// OpenDescriptors returns the number of open descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), errors.Wrap(err, "emulator")
}

// CPUTicks returns the processor time that a process has used, in ticks of the system.
func CPUTicks(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "emulator")
	}
	// The name of the program is in parentheses and may contain spaces; the times are the 14th and 15th field.
	_, rest, _ := strings.Cut(string(text), ") ")
	const userField, systemField = 11, 12
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, errors.New("emulator: no processor time")
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "emulator")
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	return user + system, errors.Wrap(err, "emulator")
}
