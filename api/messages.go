package api

import (
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
)

// OperatorHeader carries the operator's name, for the audit trail.
const OperatorHeader = "X-Operator"

// CodeHeader carries the result code of every response.
const CodeHeader = "X-Cumincove-Code"

// EffectHeader indicates whether the request was not run, may have run, or ran.
// Its values are those of code.Effect.
const EffectHeader = "X-Cumincove-Effect"

// SelectVersionHeader and SelectRoleHeader restrict a request to endpoints that
// report this weight version, a positive number, and this role. If no endpoint
// matches, the request is refused with the code for that case and is not run.
const (
	SelectVersionHeader = "X-Cumincove-Weight-Version"
	SelectRoleHeader    = "X-Cumincove-Role"
)

// EntriesHeader lists, separated by commas, the addresses of other instances
// that may accept a request which this instance refuses.
const EntriesHeader = "X-Cumincove-Entries"

// Error is the body of an error response.
type Error struct {
	Code      int    `json:"code"`
	Name      string `json:"name"`
	Effect    string `json:"effect"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMillis is the time after which a retry can succeed, in
	// milliseconds. Zero means that the same request will fail again.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Diff lists the differences of the configuration after a version conflict.
	Diff []string `json:"diff,omitempty"`
}

// ChangeRequest is a request to change the configuration.
type ChangeRequest struct {
	// Expected, if set, is the version on which the change is based. The change
	// is refused if the configuration has another version.
	Expected *uint64        `json:"expected,omitempty"`
	Put      config.Objects `json:"put"`
	Delete   []config.Ref   `json:"delete,omitempty"`
	// DryRun requests only the differences that the change would make.
	DryRun bool `json:"dry_run,omitempty"`
}

// ChangeResponse is the result of a change.
type ChangeResponse struct {
	// Version is the version that contains the change.
	Version uint64 `json:"version"`
	// Committed is set if the change is stored durably.
	Committed bool `json:"committed"`
	// InForce is set if no instance uses an older version.
	InForce bool `json:"in_force"`
	// Missing names the instances that have not confirmed the version.
	Missing []string `json:"missing,omitempty"`
	Diff    []string `json:"diff,omitempty"`
}

// Objects is a list of configuration objects and the version that contains
// them.
type Objects struct {
	Version uint64 `json:"version"`
	config.Objects
}

// Status is the state of the system as one instance has observed it.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Version is the configuration version that the instance uses.
	Version uint64 `json:"version"`
	// Fresh is set while the configuration is recent enough for the instance to
	// serve requests that need a key.
	Fresh bool `json:"fresh"`
	// Draining is set from the moment at which the instance starts to leave.
	Draining bool `json:"draining"`
	// InForce is the version that is in force at all instances.
	InForce uint64 `json:"in_force"`
	// Missing names the instances that have not confirmed Version.
	Missing []string `json:"missing,omitempty"`
	// PendingWithdrawals names the keys whose withdrawal is not committed yet.
	PendingWithdrawals []string         `json:"pending_withdrawals,omitempty"`
	Members            []MemberStatus   `json:"members"`
	Leases             []LeaseStatus    `json:"leases"`
	Endpoints          []EndpointStatus `json:"endpoints"`
	Teams              []TeamStatus     `json:"teams"`
	SpendPerHour       float64          `json:"spend_per_hour"`
	SpendForecast      float64          `json:"spend_forecast"`
	// Spend has an entry for each pool, and Demand for each service, for which
	// the system orders endpoints.
	Spend  []SpendStatus  `json:"spend"`
	Demand []DemandStatus `json:"demand"`
}

// SpendStatus is the cost of the endpoints of a pool, in the currency units of
// the configuration.
type SpendStatus struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Tier       string `json:"tier"`
	// Endpoints is the number of endpoints that currently cost money, and
	// PerHour their total cost per hour.
	Endpoints int     `json:"endpoints"`
	PerHour   float64 `json:"per_hour"`
	// Forecast is the cost per hour expected 15 minutes from now, extrapolated
	// from the trend of the demand.
	Forecast float64 `json:"forecast"`
}

// DemandStatus is the number of a service's requests that wait or run at all
// instances.
type DemandStatus struct {
	Service     string `json:"service"`
	Interactive int    `json:"interactive"`
	Rollout     int    `json:"rollout"`
	// Complete is set if recent reports from all instances were received. Until
	// then, the system does not lower the number of endpoints that it orders.
	Complete bool `json:"known"`
}

// MemberStatus is the state of one instance.
type MemberStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	Version    uint64 `json:"version"`
	InFlight   int    `json:"in_flight"`
	Leaving    bool   `json:"leaving"`
}

// LeaseStatus is the state of one lease.
type LeaseStatus struct {
	Duty       string `json:"duty"`
	DataCentre string `json:"data_centre"`
	Holder     string `json:"holder"`
	Epoch      uint64 `json:"epoch"`
	// HeldLocally is set if the responding instance holds the lease.
	HeldLocally bool `json:"mine"`
}

// EndpointStatus is the state of one endpoint of one service.
type EndpointStatus struct {
	Service       string `json:"service"`
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Tier          string `json:"tier"`
	Addr          string `json:"addr"`
	InFlight      int64  `json:"in_flight"`
	WeightVersion uint64 `json:"weight_version"`
	Leaving       bool   `json:"leaving"`
}

// TeamStatus is the state of one team at the responding instance.
type TeamStatus struct {
	Name     string  `json:"name"`
	Weight   float64 `json:"weight"`
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
}

// KeyRequest is a request for a new key.
type KeyRequest struct {
	Name   string            `json:"name"`
	Team   string            `json:"team"`
	Labels map[string]string `json:"labels,omitempty"`
}

// KeyResponse contains a new key. It is the only response that contains the
// key, of which only a digest is stored.
type KeyResponse struct {
	Name    string `json:"name"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// WithdrawResponse is the result of a withdrawal.
type WithdrawResponse struct {
	Name string `json:"name"`
	// InForce is set if the responding instance refuses the key and has
	// notified the other instances.
	InForce bool `json:"in_force"`
	// Durable is set if the withdrawal is committed.
	Durable bool `json:"durable"`
	// Copied is set if the object store also contains the withdrawal. Instances
	// read it from there at their start, even if no instance that received the
	// withdrawal is still running.
	Copied  bool   `json:"copied"`
	Version uint64 `json:"version,omitempty"`
}

// AuditRow is one row of the audit trail.
type AuditRow struct {
	Version  uint64    `json:"version"`
	Operator string    `json:"who"`
	Time     time.Time `json:"when"`
	Action   string    `json:"what"`
	// Diff lists the changed objects with their values before and after.
	Diff    []string `json:"diff"`
	Outcome string   `json:"outcome"`
}

// AuditPage is a page of the audit trail. Next is the value of the parameter
// after for the next page; zero means that this is the last page.
type AuditPage struct {
	Rows []AuditRow `json:"rows"`
	Next uint64     `json:"next,omitempty"`
}

// DrainResponse is the progress of a drain.
type DrainResponse struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
}

// Usage is the usage of one window. The usage of a sealed window never changes.
type Usage struct {
	Window int64             `json:"window"`
	Sealed bool              `json:"sealed"`
	Teams  []infra.TeamUsage `json:"teams"`
}

// StepStatus is the state of one rollout step.
type StepStatus struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Service   string `json:"service"`
	Owner     string `json:"owner"`
	Samples   int    `json:"samples"`
	Completed int    `json:"whole"`
	Delivered int    `json:"delivered"`
	// Scored and Unscored count the samples whose scoring ended with and without
	// a score. Both are zero for steps without a scoring service.
	Scored   int `json:"scored"`
	Unscored int `json:"unscored"`
}

// Steps is a list of rollout steps.
type Steps struct {
	Steps []StepStatus `json:"steps"`
}
