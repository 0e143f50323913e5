package view

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
)

// View is one consistent picture of the world as this instance knows it.
type View struct {
	// Config is the newest installed configuration; never nil.
	Config *config.State
	// Withdrawn holds the digests of keys whose withdrawal is known but may
	// not be part of Config yet.
	Withdrawn map[string]struct{}
	// Endpoints lists the endpoints of each service by the service's name.
	Endpoints map[string][]*Endpoint
	// Members are the instances believed alive or leaving, by name.
	Members map[string]Member
	// MembersAt is when the members' heartbeats were last read, in boot time.
	MembersAt time.Duration
	// RolloutInstances is the number of instances that have rollout work, this
	// one included. Zero means that it has none, or that the others may not
	// have heard of it yet; see RolloutSharers.
	RolloutInstances int

	keys    map[string]config.Key
	running []infra.RunningEndpoint
	// replicas registered themselves.
	replicas []infra.Replica
	loads    map[string]LoadReport
	byName   map[string]*Endpoint
	// left holds, by name, the incarnation of endpoints that said that they
	// leave.
	left map[string]int64
}

// Member is an instance as membership sees it.
type Member struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	PeerAddr    string
	CallerAddr  string
	// Leaving instances take no new callers.
	Leaving bool
	// HeardAt is when its last heartbeat was read, in boot time, where heartbeats are
	// rows; see View.MembersAt.
	HeardAt time.Duration
	// Size is the part of a processor that the instance has; zero is unknown.
	Size float64
	// InFlight is the instance's own last word on its requests in flight.
	InFlight int
	// ConfigVersion is the configuration version it last said it has.
	ConfigVersion uint64
}

// RolloutSharers is the number of instances among which the room for rollout
// streams is divided: those with rollout work, or all if that is not known.
func (v *View) RolloutSharers() int {
	if v.RolloutInstances > 0 {
		return v.RolloutInstances
	}
	return len(v.Members)
}

// Digest returns the hexadecimal SHA-256 under which a key is stored.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyByDigest finds a key. Its Withdrawn field includes withdrawals that are
// not part of the configuration yet.
func (v *View) KeyByDigest(digest string) (config.Key, bool) {
	k, ok := v.keys[digest]
	if !ok {
		return config.Key{}, false
	}
	if _, w := v.Withdrawn[digest]; w {
		k.Withdrawn = true
	}
	return k, true
}

// SetConfig replaces the configuration and what is derived from it. It is for
// use within Store.Update only.
func (v *View) SetConfig(c *config.State) {
	v.Config = c
	v.keys = make(map[string]config.Key, len(c.Keys))
	for _, k := range c.Keys {
		v.keys[k.Digest] = k
	}
	v.resolve()
}

// EndpointByName finds an endpoint.
func (v *View) EndpointByName(name string) (*Endpoint, bool) {
	e, ok := v.byName[name]
	return e, ok
}

// AllEndpoints returns every endpoint by name. The map must not be modified.
func (v *View) AllEndpoints() map[string]*Endpoint {
	return v.byName
}

// Store publishes Views.
type Store struct {
	cur atomic.Pointer[View]

	mu      sync.Mutex // serialises writers
	changed chan struct{}
}

// NewStore returns a Store with an empty View.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	v := &View{Members: map[string]Member{}}
	v.SetConfig(config.NewState())
	s.cur.Store(v)
	return s
}

// Load returns the current View.
func (s *Store) Load() *View {
	return s.cur.Load()
}

// Update publishes a copy of the current View that f has changed. f must
// replace maps and slices that it changes, not modify them.
func (s *Store) Update(f func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.cur.Load()
	f(&next)
	s.cur.Store(&next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next Update. Load the View
// after asking for the channel, or an update may be missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
