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

// View is a consistent snapshot of the state that this instance has received.
type View struct {
	// Config is the newest installed configuration. It is never nil.
	Config *config.State
	// Withdrawn contains the digests of keys whose withdrawal was received but
	// may not be part of Config yet.
	Withdrawn map[string]struct{}
	// Endpoints contains the endpoints of each service, by service name.
	Endpoints map[string][]*Endpoint
	// Members contains the instances that are considered alive or leaving, by
	// name.
	Members map[string]Member
	// MembersAt is the boot time at which the members' heartbeats were last
	// read.
	MembersAt time.Duration
	// MemberSteps contains the rollout steps that each other member reports to run, by the
	// member's name and the step's ID, with the version that the row of the step's
	// owner had when the member became the owner.
	MemberSteps map[string]map[string]uint64
	// RolloutInstances is the number of instances that have rollout work,
	// including this one. Zero means that this instance has no rollout work, or
	// that the other instances may not have been notified of its work yet. See
	// RolloutSharers.
	RolloutInstances int

	keys    map[string]config.Key
	running []infra.RunningEndpoint
	// replicas are the endpoints that registered themselves.
	replicas []infra.Replica
	// replicasRead indicates that replicas was set.
	replicasRead bool
	// evacuated contains the data centres whose endpoints get no work.
	evacuated map[string]bool
	loads     map[string]LoadReport
	byName    map[string]*Endpoint
	// markedLeaving contains the incarnations of the endpoints that were marked
	// by SetLeaving, by name.
	markedLeaving map[string]int64
}

// Member is the state of an instance according to membership.
type Member struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	PeerAddr    string
	CallerAddr  string
	// Leaving indicates that the instance accepts no new callers.
	Leaving bool
	// HeartbeatAt is the boot time at which the last heartbeat of the instance
	// was read, if heartbeats are stored as rows. See View.MembersAt.
	HeartbeatAt time.Duration `json:"HeardAt"`
	// Size is the fraction of a processor that the instance has. Zero means
	// unknown.
	Size float64
	// InFlight is the last reported number of requests in flight of the
	// instance.
	InFlight int
	// ConfigVersion is the last reported configuration version of the instance.
	ConfigVersion uint64
}

// RolloutSharers returns the number of instances among which the capacity for
// rollout streams is divided: those with rollout work, or all instances if that
// number is not available.
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

// KeyByDigest returns the key with the given digest. Its Withdrawn field
// includes withdrawals that are not part of the configuration yet.
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

// SetConfig replaces the configuration and the state derived from it. It must
// only be called within Store.Update.
func (v *View) SetConfig(c *config.State) {
	v.Config = c
	v.keys = make(map[string]config.Key, len(c.Keys))
	for _, k := range c.Keys {
		v.keys[k.Digest] = k
	}
	v.resolve()
}

// EndpointByName returns the endpoint with the given name.
func (v *View) EndpointByName(name string) (*Endpoint, bool) {
	e, ok := v.byName[name]
	return e, ok
}

// AllEndpoints returns all endpoints by name. The map must not be modified.
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

// Update publishes a copy of the current View that f has changed. The function f
// must replace the maps and slices that it changes. It must not modify them in
// place.
func (s *Store) Update(f func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.cur.Load()
	f(&next)
	s.cur.Store(&next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Inspect calls f with the current View. No update is made meanwhile.
func (s *Store) Inspect(f func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.cur.Load())
}

// Changed returns a channel that is closed by the next Update. The caller must
// call Changed before Load, or it may miss an update.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
