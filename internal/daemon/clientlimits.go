package daemon

import (
	"log/slog"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/membudget"
	"github.com/cumincove/cumincove/settings"
)

const (
	mib = 1 << 20
	// programMemory is the memory that the runtime does not manage, and the runtime's own
	// without requests: that of the program and the C library.
	programMemory = 24 * mib
	// runtimeShare is the part of the process's memory that the runtime keeps to, in
	// percent.
	runtimeShare = 70
	// leastRequestMemory is the memory for requests on machines that have less than
	// programMemory, and defaultRequestMemory that on machines whose limit is unknown.
	leastRequestMemory   = 4 * mib
	defaultRequestMemory = 1024 * mib
	// reserveShare is the part of the memory for requests that only small ones use:
	// a quarter.
	reserveShare = 4
	// connMemory is the memory of a connection that does not count towards that of
	// requests: in the runtime, the buffers and stacks of a connection whose request waits
	// at an endpoint, headmeter.Free and what is read ahead; and what the kernel has
	// received and nobody has read.
	connMemory = 48<<10 + receiveBuffer
	// connMemoryShare is the part of the memory for connections: a quarter.
	connMemoryShare = 4
	// callersShare, peersShare, entriesShare and othersShare are the parts of the
	// connections for callers, other instances, the entries' listener and each further one.
	callersShare, peersShare, entriesShare, othersShare = 2, 4, 8, 16
	// surplusShare is the part of the callers' connections whose requests are refused with
	// an error code, and maxSurplus bounds it.
	surplusShare, maxSurplus = 8, 64
	// fileDescriptors is the part of the setting's descriptors that is reserved for
	// files.
	fileDescriptors = 200
	// maxConns is the limit on connections of other instances, and maxOtherConns that of
	// each further listener, if neither memory nor descriptors are known to be fewer.
	maxConns      = 10_000
	maxOtherConns = 2500
	// minConns is the least limit on connections.
	minConns = 8
)

// processLimits are the limits of the operating system; zero means none.
type processLimits struct {
	memory      int64 // bytes
	descriptors int64
}

func readProcessLimits() processLimits {
	return processLimits{
		memory:      readLimit(unix.RLIMIT_DATA),
		descriptors: readLimit(unix.RLIMIT_NOFILE),
	}
}

// readLimit returns a limit of the process, and zero if there is none.
func readLimit(resource int) int64 {
	var l unix.Rlimit
	if unix.Getrlimit(resource, &l) != nil || l.Cur > 1<<62 {
		return 0
	}
	return int64(l.Cur)
}

// clientLimits are the limits on what all clients together use of an instance.
type clientLimits struct {
	memory, reserve int64 // bytes
	// callers and peers bound the connections of callers and of other instances; surplus
	// is the number of further ones of callers whose requests are refused with an error
	// code. entries bounds those of the entries' listener, and others those of each
	// further one.
	callers, surplus, peers, entries, others int
}

// newClientLimits derives the limits from the settings and the limits of the
// operating system.
func newClientLimits(l settings.Limits, p processLimits) clientLimits {
	c := clientLimits{
		memory:  defaultRequestMemory,
		callers: l.Connections, surplus: maxSurplus, peers: maxConns, entries: maxOtherConns, others: maxOtherConns,
	}
	if memory := machineMemory(l, p); memory > 0 {
		c.memory = max((runtimeMemory(memory)-programMemory)/2, leastRequestMemory)
		n := maxConnections(memory)
		c.boundConns(n/callersShare, n/peersShare, n/entriesShare, n/othersShare)
	}
	if l.RequestMemoryMB > 0 {
		c.memory = int64(l.RequestMemoryMB) * mib
	}
	c.reserve = c.memory / reserveShare
	if n := descriptors(l, p); n > 0 { // the rest is for connections to endpoints, peers and the platform
		c.boundConns(n*3/8, n/8, n/32, n/32)
	}
	c.callers = max(c.callers, 1)
	c.peers, c.entries, c.others = max(c.peers, minConns), max(c.entries, minConns), max(c.others, minConns)
	return c
}

// boundConns lowers the limits on connections to the given ones. That of callers includes
// the surplus.
func (c *clientLimits) boundConns(callers, peers, entries, others int) {
	c.surplus = min(c.surplus, callers/surplusShare)
	c.callers, c.peers = min(c.callers, callers-c.surplus), min(c.peers, peers)
	c.entries, c.others = min(c.entries, entries), min(c.others, others)
}

// machineMemory returns the memory of the process in bytes, and zero if it is not known.
func machineMemory(l settings.Limits, p processLimits) int64 {
	memory := int64(l.MemoryMB) * mib
	if p.memory > 0 && (memory == 0 || p.memory < memory) {
		return p.memory
	}
	return memory
}

// runtimeMemory returns the memory that the runtime manages, of that of the process.
func runtimeMemory(memory int64) int64 { return min(memory*runtimeShare/100, memory-programMemory) }

// maxConnections returns the number of connections for which there is memory.
func maxConnections(memory int64) int { return int(memory / connMemoryShare / connMemory) }

// SoftMemoryLimit returns the runtime's soft memory limit, in bytes, and zero if the memory
// of the process is not known. It leaves room for what the kernel has received.
func SoftMemoryLimit(l settings.Limits) int64 {
	memory := machineMemory(l, readProcessLimits())
	if memory == 0 {
		return 0
	}
	received := int64(maxConnections(memory)) * receiveBuffer
	return max(runtimeMemory(memory)-received, memory/2)
}

// descriptors returns the number of descriptors for connections; zero means no limit.
func descriptors(l settings.Limits, p processLimits) int {
	if l.Descriptors == 0 {
		return int(p.descriptors)
	}
	n := max(l.Descriptors-fileDescriptors, minConns)
	if p.descriptors > 0 {
		n = min(n, int(p.descriptors))
	}
	return n
}

// logTo logs the limits.
func (c clientLimits) logTo(log *slog.Logger) {
	log.Info("limits on clients", "request_memory_bytes", c.memory, "reserve_bytes", c.reserve,
		"caller_connections", c.callers, "peer_connections", c.peers, "entries_connections", c.entries, "other_connections", c.others)
}

// newBudget returns the budget of an instance. Its clock doesn't count the time in
// which the process did not run, because clients could make no progress then either.
func newBudget(l clientLimits) *membudget.Budget {
	return membudget.New(membudget.Options{Total: l.memory, Reserve: l.reserve, Clock: clock.NewMonotonic(), Collect: runtime.GC})
}

const (
	// drainTime bounds the time for which the rest of a body is read after its
	// request was answered, and writeTimeout the time in which a client must accept
	// a part of an answer.
	drainTime    = time.Second
	writeTimeout = 30 * time.Second
)
