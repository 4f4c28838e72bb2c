package service

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The kernel's table of Unix sockets has a socket's inode in this column.
const (
	unixTable       = "/proc/net/unix"
	unixInodeColumn = 6
)

// kernelPaths are where no files on disk are. The language's runtime keeps some there open, such as
// the limits of its control group.
var kernelPaths = []string{"/dev/", "/proc/", "/sys/"}

// descriptors returns what a process has open: its sockets, and the paths of its files on disk.
func descriptors(t *testing.T, process int) (sockets, files []string) {
	t.Helper()
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process))
	must(t, err)
	for _, link := range links {
		target, err := os.Readlink(link)
		switch {
		case err != nil: // closed in the meantime
		case strings.HasPrefix(target, "socket:"):
			sockets = append(sockets, target)
		case strings.HasPrefix(target, "/") && !isKernelPath(target):
			files = append(files, target)
		}
	}
	return sockets, files
}

// ofKernel reports whether a path is of the kernel, not of a disk.
func isKernelPath(path string) bool {
	return slices.ContainsFunc(kernelPaths, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// inodes returns the sockets of one of the kernel's tables whose line is wanted.
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

// A process that serves beside another has two listeners, the clients' and the operators', no Unix
// socket, and one file on disk, by which both find each other.
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
			t.Errorf("a Unix socket is open: %s", socket)
		}
	}
	if listeners != 2 {
		t.Errorf("%d listeners, want the clients' and the operators'", listeners)
	}
	if len(files) != 1 || !strings.HasSuffix(files[0], ".lock") {
		t.Errorf("files %q, want one lock", files)
	}
	s.stopAndCheck(t, 1)
}
