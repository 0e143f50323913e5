package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// sourceOf names the machine whose process opened a connection to a relay. All
// processes use the same address, so it looks for the process that has the socket.
func (w *world) sourceOf(c net.Conn) string {
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return "unknown"
	}
	for _, m := range w.started() {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.cmd.Process.Pid)) // the pattern is valid
		for _, link := range links {
			if name, err := os.Readlink(link); err == nil && name == "socket:["+inode+"]" {
				return m.name
			}
		}
	}
	return "unknown"
}

// inodeOf returns the inode of the socket with the given addresses, or "".
func inodeOf(local, remote *net.TCPAddr) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	want := [2]string{hexAddr(local), hexAddr(remote)}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == want[0] && fields[2] == want[1] {
			return fields[9]
		}
	}
	return ""
}

// hexAddr returns an address as the kernel prints it.
func hexAddr(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
