package observe

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor time in the process table of Linux.
const clockTick = 10 * time.Millisecond

// fields of /proc/PID/stat after the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// Process is the usage of a process.
type Process struct {
	CPU      time.Duration
	Resident int64 // bytes
}

// ReadProcess returns the usage of the process with the given id.
func ReadProcess(pid int) (Process, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Process{}, fmt.Errorf("read process: %w", err)
	}
	p, err := parseStat(stat)
	if err != nil {
		return Process{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Process{}, fmt.Errorf("read process: %w", err)
	}
	fields := bytes.Fields(statm)
	if len(fields) < 2 {
		return Process{}, fmt.Errorf("read process: unexpected format %q", statm)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return Process{}, fmt.Errorf("read process: %w", err)
	}
	p.Resident = pages * int64(os.Getpagesize())
	return p, nil
}

// parseStat reads the processor time. The command name may contain spaces and
// ends with the last parenthesis.
func parseStat(stat []byte) (Process, error) {
	end := bytes.LastIndexByte(stat, ')')
	fields := bytes.Fields(stat[end+1:])
	if end < 0 || len(fields) <= fieldSystemTime {
		return Process{}, fmt.Errorf("read process: unexpected format %q", stat)
	}
	var ticks int64
	for _, i := range []int{fieldUserTime, fieldSystemTime} {
		n, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return Process{}, fmt.Errorf("read process: %w", err)
		}
		ticks += n
	}
	return Process{CPU: time.Duration(ticks) * clockTick}, nil
}
