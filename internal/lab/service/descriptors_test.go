package service

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The path of the kernel's table of Unix sockets and its column of the socket's inode.
const (
	unixTable       = "/proc/net/unix"
	unixInodeColumn = 6
)

// kernelPaths are the prefixes of paths that are not files on disk. The Go runtime keeps some of them
// open, such as the limits of its control group.
var kernelPaths = []string{"/dev/", "/proc/", "/sys/"}

// descriptors returns what a process has open: its sockets, and the paths of its files on disk.
func descriptors(t *testing.T, pid int) (sockets, files []string) {
	t.Helper()
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	must(t, err)
	for _, link := range links {
		target, err := os.Readlink(link)
		switch {
		case err != nil: // the descriptor was closed after Glob
		case strings.HasPrefix(target, "socket:"):
			sockets = append(sockets, target)
		case strings.HasPrefix(target, "/") && !isKernelPath(target):
			files = append(files, target)
		}
	}
	return sockets, files
}

// isKernelPath reports whether a path belongs to the kernel and not to a disk.
func isKernelPath(path string) bool {
	return slices.ContainsFunc(kernelPaths, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// inodes returns the sockets in one of the kernel's tables, by their inode column, for the lines that
// wanted selects.
func inodes(t *testing.T, table string, column int, wanted func(columns []string) bool) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(table)
	must(t, err)
	found := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		if columns := strings.Fields(line); len(columns) > column && wanted(columns) {
			found["socket:["+columns[column]+"]"] = true
		}
	}
	return found
}

// Checks that a process leaks no descriptors when it serves beside another one during an upgrade. It
// has two listeners (for clients and for its admin address), no Unix socket, and one file on disk: the
// lock file through which the two processes find each other.
func TestOpenDescriptors(t *testing.T) {
	s := startUnderLoad(t)
	_, err := s.Upgrade(t.Context())
	must(t, err)
	listening := inodes(t, tcpTable, inodeColumn, func(columns []string) bool {
		return columns[stateColumn] == listeningState
	})
	local := inodes(t, unixTable, unixInodeColumn, func([]string) bool { return true })
	sockets, files := descriptors(t, s.Current.ID())
	listeners := 0
	for _, socket := range sockets {
		if listening[socket] {
			listeners++
		}
		if local[socket] {
			t.Errorf("Unix socket %s is open, want none", socket)
		}
	}
	if listeners != 2 {
		t.Errorf("process has %d listeners, want 2: for clients and for the admin address", listeners)
	}
	if len(files) != 1 || !strings.HasSuffix(files[0], ".lock") {
		t.Errorf("process has open files %q, want only the lock file", files)
	}
	s.stopAndCheck(t, 1)
}
