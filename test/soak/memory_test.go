package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitDescriptors makes a process have no more descriptors than its machine.
func limitDescriptors(pid, descriptors int) error {
	limit := unix.Rlimit{Cur: uint64(descriptors), Max: uint64(descriptors)}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// processID returns the id of the current process; zero: it has ended.
func (e *entry) processID() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd.Process.Signal(syscall.Signal(0)) != nil {
		return 0
	}
	return e.cmd.Process.Pid
}

// residentMB returns the resident memory of the current process in MiB; zero: it has ended.
func (e *entry) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.processID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// processorTime returns the processor time that the current process has used, in clock ticks; zero: it has ended.
func (e *entry) processorTime() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.processID()))
	if err != nil {
		return 0
	}
	const userField, systemField = 11, 12 // after the name of the command
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return user + system
}

// unreadBytes returns how many bytes the kernel has received on the router's address and no process has read.
func (e *entry) unreadBytes() int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(net.ParseIP(e.ip).To4()))
	total := 0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		const localField, queuesField, listening = 1, 4, "0A"
		if len(fields) <= queuesField || !strings.HasPrefix(fields[localField], local) || fields[queuesField-1] == listening {
			continue
		}
		_, unread, _ := strings.Cut(fields[queuesField], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += int(n)
	}
	return total
}
