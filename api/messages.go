package api

import (
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
)

// OperatorHeader carries the operator's name, for the audit trail.
const OperatorHeader = "X-Operator"

// CodeHeader carries the result code of every answer.
const CodeHeader = "X-Cumincove-Code"

// EffectHeader says whether the request was not run, may have run, or ran.
const EffectHeader = "X-Cumincove-Effect"

// SelectVersionHeader and SelectRoleHeader let a request run only at endpoints
// that report this weight version, a positive number, and this role. Without a
// match it is refused by its code and runs nowhere.
const (
	SelectVersionHeader = "X-Cumincove-Weight-Version"
	SelectRoleHeader    = "X-Cumincove-Role"
)

// EntriesHeader names other instances' addresses in a refusal that they may not
// give, separated by commas.
const EntriesHeader = "X-Cumincove-Entries"

// Error is the body of a failure.
type Error struct {
	Code      int    `json:"code"`
	Name      string `json:"name"`
	Effect    string `json:"effect"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMillis is when it is worth coming back, in milliseconds. Zero
	// means that the same request will fail again.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Diff shows how the configuration differs, on a version conflict.
	Diff []string `json:"diff,omitempty"`
}

// ChangeRequest asks for a change of the configuration.
type ChangeRequest struct {
	// Expected, when set, is the version that the change was made for; if the
	// configuration moved on, the change is refused.
	Expected *uint64        `json:"expected,omitempty"`
	Put      config.Objects `json:"put"`
	Delete   []config.Ref   `json:"delete,omitempty"`
	// DryRun only computes the difference.
	DryRun bool `json:"dry_run,omitempty"`
}

// ChangeResponse tells what became of a change.
type ChangeResponse struct {
	// Version is the version that holds the change.
	Version uint64 `json:"version"`
	// Committed says that the change is stored and will not be lost.
	Committed bool `json:"committed"`
	// InForce says that no instance serves an older version any more.
	InForce bool `json:"in_force"`
	// Missing names the instances that have not confirmed the version.
	Missing []string `json:"missing,omitempty"`
	Diff    []string `json:"diff,omitempty"`
}

// Objects is a list of configuration objects with the version they are from.
type Objects struct {
	Version uint64 `json:"version"`
	config.Objects
}

// Status is what one instance knows of the system.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Fresh      bool   `json:"fresh"`
	Draining   bool   `json:"draining"`
	InForce    uint64 `json:"in_force"`
	// Missing names the instances that have not confirmed Version.
	Missing []string `json:"missing,omitempty"`
	// Pending names the keys whose withdrawal is not durable yet.
	Pending       []string         `json:"pending_withdrawals,omitempty"`
	Members       []MemberStatus   `json:"members"`
	Leases        []LeaseStatus    `json:"leases"`
	Endpoints     []EndpointStatus `json:"endpoints"`
	Teams         []TeamStatus     `json:"teams"`
	SpendPerHour  float64          `json:"spend_per_hour"`
	SpendForecast float64          `json:"spend_forecast"`
	// Spend and Demand are by pool and service that the system orders.
	Spend  []SpendStatus  `json:"spend"`
	Demand []DemandStatus `json:"demand"`
}

// SpendStatus is what the endpoints of a pool cost, in the currency units of
// the configuration.
type SpendStatus struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Tier       string `json:"tier"`
	// Endpoints costs money now, PerHour in all.
	Endpoints int     `json:"endpoints"`
	PerHour   float64 `json:"per_hour"`
	// Forecast is the cost an hour in a quarter of an hour, by the demand's
	// trend.
	Forecast float64 `json:"forecast"`
}

// DemandStatus is the work of a service that waits or runs at all instances, in
// requests.
type DemandStatus struct {
	Service     string `json:"service"`
	Interactive int    `json:"interactive"`
	Rollout     int    `json:"rollout"`
	// Known says that every instance was heard lately. Without it no count
	// goes down.
	Known bool `json:"known"`
}

// MemberStatus is one instance.
type MemberStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	Version    uint64 `json:"version"`
	InFlight   int    `json:"in_flight"`
	Leaving    bool   `json:"leaving"`
}

// LeaseStatus is one lease.
type LeaseStatus struct {
	Duty       string `json:"duty"`
	DataCentre string `json:"data_centre"`
	Holder     string `json:"holder"`
	Epoch      uint64 `json:"epoch"`
	// Mine says that the answering instance holds it.
	Mine bool `json:"mine"`
}

// EndpointStatus is one endpoint of one service.
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

// TeamStatus is one team as the answering instance sees it.
type TeamStatus struct {
	Name     string  `json:"name"`
	Weight   float64 `json:"weight"`
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
}

// KeyRequest asks for a new key.
type KeyRequest struct {
	Name   string            `json:"name"`
	Team   string            `json:"team"`
	Labels map[string]string `json:"labels,omitempty"`
}

// KeyResponse holds a new key. The key is shown this once and stored as a
// digest only.
type KeyResponse struct {
	Name    string `json:"name"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// WithdrawResponse tells what became of a withdrawal.
type WithdrawResponse struct {
	Name string `json:"name"`
	// InForce says that the answering instance refuses the key and has told
	// the others.
	InForce bool `json:"in_force"`
	// Durable says that the withdrawal is committed.
	Durable bool `json:"durable"`
	// Copied says that the object store holds it too: instances that start
	// find it there, also if none that knows it is left.
	Copied  bool   `json:"copied"`
	Version uint64 `json:"version,omitempty"`
}

// AuditRow is one row of the audit trail.
type AuditRow struct {
	Version uint64    `json:"version"`
	Who     string    `json:"who"`
	When    time.Time `json:"when"`
	What    string    `json:"what"`
	// Diff holds a line for each object, with its value before and after.
	Diff    []string `json:"diff"`
	Outcome string   `json:"outcome"`
}

// AuditPage is a part of the audit trail. Next is the value of after for the
// next page, zero at the end.
type AuditPage struct {
	Rows []AuditRow `json:"rows"`
	Next uint64     `json:"next,omitempty"`
}

// DrainResponse tells how far a drain is.
type DrainResponse struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
}

// Usage is the usage of one window. Sealed figures never change.
type Usage struct {
	Window int64             `json:"window"`
	Sealed bool              `json:"sealed"`
	Teams  []infra.TeamUsage `json:"teams"`
}

// StepStatus is one rollout step.
type StepStatus struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Service   string `json:"service"`
	Owner     string `json:"owner"`
	Samples   int    `json:"samples"`
	Whole     int    `json:"whole"`
	Delivered int    `json:"delivered"`
	// Scored and Unscored count samples whose scoring ended with a score and
	// without; both are zero for steps without a scoring service.
	Scored   int `json:"scored"`
	Unscored int `json:"unscored"`
}

// Steps is a list of rollout steps.
type Steps struct {
	Steps []StepStatus `json:"steps"`
}
