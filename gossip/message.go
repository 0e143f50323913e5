package gossip

// Record is the state that an instance publishes about itself.
type Record struct {
	Name string
	// Incarnation is higher after each start of the instance.
	Incarnation uint64
	// Seq increases with each change of the record.
	Seq uint64
	// Addr is the address of the instance.
	Addr string
	// Left indicates that the instance shut down in an orderly way.
	Left bool
	// State is opaque to this package.
	State []byte
	// Minor is the number of changes since the last one that must reach all
	// instances soon. Minor changes are forwarded fewer times.
	Minor uint64
}

// Entry identifies a version of a Record.
type Entry struct {
	Name        string
	Incarnation uint64
	Seq         uint64
}

// Entry returns the record's version.
func (r Record) Entry() Entry { return Entry{r.Name, r.Incarnation, r.Seq} }

// major returns the version of the last change that was not minor.
func (r Record) major() Entry { return Entry{r.Name, r.Incarnation, r.Seq - min(r.Minor, r.Seq)} }

// Before reports whether e is an older version than o.
func (e Entry) Before(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation < o.Incarnation
	}
	return e.Seq < o.Seq
}

// Broadcast is an urgent message to all instances.
type Broadcast struct {
	// ID is unique. Each receiver delivers and forwards a Broadcast once.
	ID   string
	Kind string
	Body []byte
}

// Message is the request or the reply of an exchange.
type Message struct {
	From    string
	Records []Record
	// Vector of a request is empty or contains the versions of all records of the
	// sender. Vector of a reply contains the sender's versions of the records
	// that are newer at the peer, zero for a record that the sender lacks.
	Vector []Entry
	// Suspicions are the versions of the instances that the sender considers
	// suspect or down.
	Suspicions []Entry
	Broadcasts []Broadcast
	// Digest is equal for instances that have the same records, apart from
	// minor changes.
	Digest uint64
}

// Status is a Node's view of whether an instance is alive.
type Status int

// The statuses of an instance.
const (
	// Listed means that the platform lists the instance, but no record of it
	// has been received yet.
	Listed Status = iota
	Alive
	Suspect
	Down
	Left
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"listed", "alive", "suspect", "down", "left"}[s]
}

// Member is a Node's view of an instance.
type Member struct {
	Record
	Status Status
	// Listed indicates that the platform's list contains the instance.
	Listed bool
}

// Seed is an entry of the platform's list of instances.
type Seed struct {
	Name string
	Addr string
}

// Peer is an instance to exchange messages with.
type Peer struct {
	Name string
	Addr string
}
