package infra

import (
	"context"
	"time"
)

// Objects is the platform's object store. Objects are immutable by convention:
// all writes of a name have the same content.
type Objects interface {
	// Put stores an object atomically.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. It is no error if the object does not exist.
	Delete(ctx context.Context, name string) error
}

// InstanceState is the state of an instance in the platform's list.
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

// Instances is the platform's list of live and leaving instances. It may be out
// of date.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// EndpointOrder is a request for a number of running endpoints. It is
// level-triggered: it contains the desired count, not a difference, so that
// repeating it has no further effect.
type EndpointOrder struct {
	// ID identifies the order. It is the same when the order is sent again.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	// Tier is the price class, for example "cheap" or "ondemand".
	Tier  string `json:"tier"`
	Count int    `json:"count"`
	// Epoch is the fencing token of the lease under which the order is sent.
	// Holder is the lease's holder.
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
}

// EndpointState is the state of a running endpoint as the platform reports it.
type EndpointState string

// The states of an endpoint.
const (
	EndpointStarting   EndpointState = "starting"
	EndpointRunning    EndpointState = "running"
	EndpointReclaiming EndpointState = "reclaiming"
)

// RunningEndpoint is one endpoint that the platform runs for the system.
type RunningEndpoint struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"data_centre"`
	Service    string        `json:"service"`
	Tier       string        `json:"tier"`
	Addr       string        `json:"addr"`
	State      EndpointState `json:"state"`
	// ReclaimIn is the time left until a reclaimed endpoint is removed.
	ReclaimIn time.Duration `json:"reclaim_in,omitempty"`
}

// Replica is an endpoint that has registered itself.
type Replica struct {
	RunningEndpoint
	// Incarnation distinguishes this start of the endpoint from other starts
	// under the same name.
	Incarnation int64
	// Slots is the number of requests that the endpoint processes concurrently.
	// Zero means unknown.
	Slots int
	// Weights is the weight version of each model that an engine has loaded.
	Weights map[string]uint64
	// ColdUntil is the boot time up to which the endpoint states that it is cold.
	// ColdStated is false if its entry does not say whether it is.
	ColdUntil  time.Duration
	ColdStated bool
}

// Endpoints orders and observes the endpoints of each data centre.
type Endpoints interface {
	// Order sends an order. It returns ErrStaleEpoch if the receiver has observed
	// a newer holder of the lease.
	Order(ctx context.Context, o EndpointOrder) error
	// Observe lists the endpoints of a data centre.
	Observe(ctx context.Context, dataCentre string) ([]RunningEndpoint, error)
}

// TeamUsage is one team's usage in one window.
type TeamUsage struct {
	Team     string `json:"team"`
	Requests uint64 `json:"requests"`
	Tokens   uint64 `json:"tokens"`
	// LateTokens counts the part of Tokens that belongs to earlier windows and
	// arrived after they were sealed.
	LateTokens uint64 `json:"late"`
}

// UsageReport is the usage of all teams in one window.
type UsageReport struct {
	// Window is the window's start, in Unix seconds.
	Window int64       `json:"window"`
	Holder string      `json:"holder"`
	Epoch  uint64      `json:"epoch"`
	Teams  []TeamUsage `json:"teams"`
}

// UsageReports accepts usage reports for billing.
type UsageReports interface {
	Report(ctx context.Context, r UsageReport) error
}

// Platform contains the interfaces of a platform that is configured through the
// system's own operators' interface.
type Platform struct {
	Table     Table
	Objects   Objects
	Instances Instances
	Endpoints Endpoints
	Usage     UsageReports
}

// Managed contains the interfaces of a platform whose operators write to its
// store and whose endpoints register themselves there.
type Managed struct {
	// SystemTables contains the internal rows of the system, with a part for each
	// purpose. Members contains the rows of instances. Steps contains the rows
	// of rollout steps, with a part for each step.
	SystemTables Tables
	Members      Feed
	Steps        Tables
	IntentSource IntentSource
	Replicas     Replicas
	Engines      Engines
	Usage        UsageReports
	Scaler       Scaler
}

// Scaler accepts orders for endpoints that register themselves.
type Scaler interface {
	// Order sends an order. It returns ErrStaleEpoch if the receiver has observed
	// a newer holder of the lease, or if no endpoints of this kind are available
	// at present.
	Order(ctx context.Context, o EndpointOrder) error
}
