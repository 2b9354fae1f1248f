package observe

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor time in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat, counted after the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// Process is the resource usage of a process.
type Process struct {
	CPU      time.Duration // user and system time since the process started
	Resident int64         // resident memory in bytes
}

// ReadProcess returns the resource usage of the process with the given id.
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

// parseStat returns the processor time from the content of /proc/PID/stat. The
// command name there may contain spaces and parentheses, so the numeric fields begin
// after the last closing parenthesis.
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
