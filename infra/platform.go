package infra

import (
	"context"
	"time"
)

// Objects is the platform's object store. Objects are immutable by
// convention: a name is written once, or again with the same content.
type Objects interface {
	// Put stores an object whole or not at all.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object; a missing one is no error.
	Delete(ctx context.Context, name string) error
}

// InstanceState is what the platform's list says of an instance.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"data_centre"`
	PeerAddr   string        `json:"peer_addr"`
	CallerAddr string        `json:"caller_addr"`
	State      InstanceState `json:"state"`
}

// Instances is the platform's list of live and leaving instances. It lags.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// EndpointOrder asks for a number of running endpoints. It is level-triggered:
// it names the wanted count, not a difference, so repeating it is harmless.
type EndpointOrder struct {
	// ID stays the same when the order is sent again.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	// Tier is the price class, for example "cheap" or "ondemand".
	Tier  string `json:"tier"`
	Count int    `json:"count"`
	// Epoch is the fencing number of the lease under which the order is
	// given; Holder is the lease's holder.
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
}

// EndpointState is what the platform says of a running endpoint.
type EndpointState string

// The states of an endpoint.
const (
	EndpointStarting   EndpointState = "starting"
	EndpointRunning    EndpointState = "running"
	EndpointReclaiming EndpointState = "reclaiming"
)

// RunningEndpoint is one endpoint that the platform runs for us.
type RunningEndpoint struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"data_centre"`
	Service    string        `json:"service"`
	Tier       string        `json:"tier"`
	Addr       string        `json:"addr"`
	State      EndpointState `json:"state"`
	// ReclaimIn is the time left before a reclaimed endpoint is taken away.
	ReclaimIn time.Duration `json:"reclaim_in,omitempty"`
}

// Replica is an endpoint that registered itself.
type Replica struct {
	RunningEndpoint
	// Incarnation tells this start of the endpoint from others under its name.
	Incarnation int64
	// Slots is how many requests it works on at once; zero is unknown.
	Slots int
	// Weights is the weight version of each model that an engine holds.
	Weights map[string]uint64
}

// Endpoints orders and observes endpoints, data centre by data centre.
type Endpoints interface {
	// Order sends an order. ErrStaleEpoch means a newer holder was seen.
	Order(ctx context.Context, o EndpointOrder) error
	// Observe lists the endpoints of a data centre.
	Observe(ctx context.Context, dataCentre string) ([]RunningEndpoint, error)
}

// TeamUsage is one team's usage within one window.
type TeamUsage struct {
	Team     string `json:"team"`
	Requests uint64 `json:"requests"`
	Tokens   uint64 `json:"tokens"`
	// Late counts the part of Tokens that belongs to earlier windows and
	// arrived after they were sealed.
	Late uint64 `json:"late"`
}

// UsageReport is the usage of all teams in one window.
type UsageReport struct {
	// Window is the window's start, in Unix seconds.
	Window int64       `json:"window"`
	Holder string      `json:"holder"`
	Epoch  uint64      `json:"epoch"`
	Teams  []TeamUsage `json:"teams"`
}

// UsageReports takes usage reports for billing.
type UsageReports interface {
	Report(ctx context.Context, r UsageReport) error
}

// Platform bundles the platform's interfaces.
type Platform struct {
	Table     Table
	Objects   Objects
	Instances Instances
	Endpoints Endpoints
	Usage     UsageReports
}

// Managed bundles the interfaces of a platform whose operators write to its
// store and whose endpoints register there themselves.
type Managed struct {
	// Own holds the system's own rows, a part for each purpose, Members those of
	// instances, and Steps those of rollout steps, a part for each step.
	Own      Tables
	Members  Feed
	Steps    Tables
	Operator Operator
	Replicas Replicas
	Engines  Engines
	Usage    UsageReports
	Scaler   Scaler
}

// Scaler takes orders for endpoints that register themselves.
type Scaler interface {
	// Order sends an order. ErrStaleEpoch means that a newer holder was seen, or
	// that none of this kind are to be had now.
	Order(ctx context.Context, o EndpointOrder) error
}
