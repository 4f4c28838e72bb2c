package service

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// The kernel's table of TCP sockets: its path, its columns, and the state of a listening socket.
const (
	tcpTable       = "/proc/net/tcp"
	localColumn    = 1
	stateColumn    = 3
	inodeColumn    = 9
	tcpColumns     = 10
	listeningState = "0A"
)

// Listens reports whether a process listens on an IPv4 address with a port. It reads /proc, so it works on
// Linux only, and returns false if the process does not exist or its descriptors cannot be read.
func Listens(pid int, address string) (bool, error) {
	inodes, err := listeners(address)
	if err != nil {
		return false, err
	}
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false, err
	}
	for _, link := range links {
		// Readlink fails for a descriptor that was closed after Glob.
		if target, err := os.Readlink(link); err == nil && inodes[target] {
			return true, nil
		}
	}
	return false, nil
}

// listeners returns the sockets that listen on an address, each named like the link target of its
// descriptor in /proc.
func listeners(address string) (map[string]bool, error) {
	local, err := tableAddress(address)
	if err != nil {
		return nil, err
	}
	table, err := os.Open(tcpTable)
	if err != nil {
		return nil, err
	}
	defer table.Close()
	inodes := map[string]bool{}
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		complete := len(columns) >= tcpColumns
		if complete && columns[localColumn] == local && columns[stateColumn] == listeningState {
			inodes["socket:["+columns[inodeColumn]+"]"] = true
		}
	}
	return inodes, lines.Err()
}

// tableAddress formats an address as the kernel's table does: the IP address as a hexadecimal number
// in the machine's byte order.
func tableAddress(address string) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	ip := net.ParseIP(host).To4()
	number, err := strconv.Atoi(port)
	if err != nil || ip == nil {
		return "", fmt.Errorf("not an IPv4 address with a port: %q", address)
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number), nil
}
