package code

import (
	"net/http"
	"time"
)

// The codes. 1000s: the request itself; 2000s: this instance's state; 3000s:
// endpoints; 4000s: rollouts; 5000s: operators; 9000s: faults of this program.
const (
	OK Number = 0

	BadRequest          Number = 1000
	HeaderTooLarge      Number = 1001
	BodyTooLarge        Number = 1002
	NoSuchRoute         Number = 1003
	AnswerTooLarge      Number = 1004
	KeyMissing          Number = 1100
	KeyUnknown          Number = 1101
	KeyWithdrawn        Number = 1102
	TeamNotAllowed      Number = 1103
	KeyWithdrawnRunning Number = 1104
	TeamLimit           Number = 1200
	QueueFull           Number = 1201
	DeadlineTooNear     Number = 1202
	QueueTimeout        Number = 1203
	RetryBudget         Number = 1204
	Poison              Number = 1300

	// 1301 must not be reused: it used to mean a duplicate of any kind.
	DedupDown            Number = 1302
	DuplicateRan         Number = 1303
	DuplicateUnderWay    Number = 1304
	DuplicateMayHaveRun  Number = 1305
	DuplicateWithContent Number = 1306
	PoisonPause          Number = 1307

	NotFresh      Number = 2000
	Draining      Number = 2001
	InstanceBusy  Number = 2002
	StoreDown     Number = 2003
	TooManyConns  Number = 2004
	CallerTimeout Number = 2005
	MemoryFull    Number = 2006

	NoEndpoint         Number = 3000
	EndpointRefused    Number = 3001
	EndpointLost       Number = 3002
	FirstByteTimeout   Number = 3003
	IdleTimeout        Number = 3004
	AnswerTruncated    Number = 3005
	AnswerMismatch     Number = 3006
	EndpointsExhausted Number = 3007
	NoMatchingEndpoint Number = 3008
	SelectionBusy      Number = 3009
	EndpointLimits     Number = 3010
	AnswerInvalid      Number = 3011

	StepUnknown      Number = 4000
	StepExists       Number = 4001
	StepOwnerMoving  Number = 4002
	StepBackPressure Number = 4003
	StepExpired      Number = 4004
	CursorAhead      Number = 4005
	CursorBehind     Number = 4006
	ScoreUnknown     Number = 4007
	ScoreTimeout     Number = 4008
	ScoreInvalid     Number = 4009

	VersionConflict     Number = 5000
	InvalidConfig       Number = 5001
	CommitUnknown       Number = 5002
	ObjectUnknown       Number = 5003
	MemberChangePending Number = 5004
	OperatorUnknown     Number = 5005

	Internal Number = 9000
)

var table = []Info{
	{OK, "ok", http.StatusOK, Ran, 0, "The request was served whole."},

	{BadRequest, "bad_request", http.StatusBadRequest, NotRun, 0, "The request could not be read. Correct it."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, 0, "The header is over the limit. Send a smaller one."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, 0, "The body is over the limit. Send a smaller one."},
	{NoSuchRoute, "no_such_route", http.StatusNotFound, NotRun, 0, "No service has this name. Check the path."},
	{AnswerTooLarge, "answer_too_large", http.StatusBadGateway, MaybeRun, 0, "The answer is over the limit. What was sent of it ends with an aborted connection. Ask for less."},
	{KeyMissing, "key_missing", http.StatusUnauthorized, NotRun, 0, "The service needs a key. Send it as a bearer token."},
	{KeyUnknown, "key_unknown", http.StatusUnauthorized, NotRun, 0, "No team has this key."},
	{KeyWithdrawn, "key_withdrawn", http.StatusUnauthorized, NotRun, 0, "The key was withdrawn. Ask the operators for a new one."},
	{TeamNotAllowed, "team_not_allowed", http.StatusForbidden, NotRun, 0, "The key's team may not call this service."},
	{KeyWithdrawnRunning, "key_withdrawn_running", http.StatusUnauthorized, MaybeRun, 0, "The key was withdrawn while the request ran; it was stopped."},
	{TeamLimit, "team_limit", http.StatusTooManyRequests, NotRun, time.Second, "The team has its full number of requests in flight."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, NotRun, 2 * time.Second, "The queue is full, or the request lost its place in it to one of higher rank."},
	{DeadlineTooNear, "deadline_too_near", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "The wait would outlast the request's deadline, so it was refused at once."},
	{QueueTimeout, "queue_timeout", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "The deadline passed while the request waited."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, MaybeRun, 5 * time.Second, "The attempt failed and the team's budget of retries is spent."},
	{Poison, "poison", http.StatusUnprocessableEntity, NotRun, 10 * time.Minute, "Requests with this content crashed endpoints before. It is refused for a time."},
	{DedupDown, "dedup_down", http.StatusServiceUnavailable, NotRun, 5 * time.Second, "Deduplication needs the store, which does not answer."},
	{DuplicateRan, "duplicate_ran", http.StatusConflict, Ran, 0, "A request with this ID ran before, and this one was not run again. A small answer is kept and given again with its own status; this body means that it was not kept."},
	{DuplicateUnderWay, "duplicate_under_way", http.StatusConflict, MaybeRun, time.Second, "A request with this ID is under way, and this one was not run. Come back with the same ID for what became of it."},
	{DuplicateMayHaveRun, "duplicate_may_have_run", http.StatusConflict, MaybeRun, 0, "A request with this ID may have run, and no whole answer is known. It is not run again under this ID."},
	{DuplicateWithContent, "duplicate_with_content", http.StatusUnprocessableEntity, NotRun, 0, "A request with this ID came before with another content. Use a new ID."},
	{PoisonPause, "poison_pause", http.StatusServiceUnavailable, NotRun, 5 * time.Second, "Requests with this content were lost with several endpoints a moment ago. It may run again after a pause."},

	{NotFresh, "not_fresh", http.StatusServiceUnavailable, NotRun, time.Second, "This instance can't tell whether its configuration is current. Use another entry."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, time.Second, "This instance is shutting down. Ask for entries again."},
	{InstanceBusy, "instance_busy", http.StatusServiceUnavailable, NotRun, time.Second, "This instance has its full number of requests in flight. Use another entry."},
	{StoreDown, "store_down", http.StatusServiceUnavailable, NotRun, 5 * time.Second, "The platform's store does not answer."},
	{TooManyConns, "too_many_connections", http.StatusServiceUnavailable, NotRun, time.Second, "This instance has its full number of connections."},
	{CallerTimeout, "caller_timeout", http.StatusRequestTimeout, NotRun, 0, "The request was not sent whole in time."},
	{MemoryFull, "memory_full", http.StatusServiceUnavailable, NotRun, time.Second, "This instance has no memory left for this request. Use another entry."},

	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "No endpoint of the service can take the request now."},
	{EndpointRefused, "endpoint_refused", http.StatusServiceUnavailable, NotRun, time.Second, "The endpoint could not be connected to."},
	{EndpointLost, "endpoint_lost", http.StatusBadGateway, MaybeRun, time.Second, "The endpoint was lost while it had the request."},
	{FirstByteTimeout, "first_byte_timeout", http.StatusGatewayTimeout, MaybeRun, time.Second, "The endpoint did not begin its answer in time."},
	{IdleTimeout, "idle_timeout", http.StatusGatewayTimeout, MaybeRun, time.Second, "The endpoint's answer stopped before it was whole."},
	{AnswerTruncated, "answer_truncated", http.StatusBadGateway, MaybeRun, time.Second, "The endpoint's answer ended before it was whole."},
	{AnswerMismatch, "answer_mismatch", http.StatusBadGateway, MaybeRun, time.Second, "The endpoint's answer belongs to another request; it was dropped."},
	{EndpointsExhausted, "endpoints_exhausted", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "Every endpoint that was tried refused the request."},
	{NoMatchingEndpoint, "no_matching_endpoint", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "No endpoint of the service reports the weight version or role that the request selects."},
	{SelectionBusy, "selection_busy", http.StatusServiceUnavailable, NotRun, time.Second, "The endpoints that the request selects have no room, or other requests wait. Requests that only some endpoints can serve do not queue."},
	{EndpointLimits, "endpoint_limits", http.StatusServiceUnavailable, NotRun, time.Second, "The endpoints of the service limit their requests a second, and no more may be sent there in the time left."},
	{AnswerInvalid, "answer_invalid", http.StatusBadGateway, MaybeRun, time.Second, "The endpoint's answer is none of HTTP: its status is not 200 to 599, or its head can't be forwarded. It was dropped."},

	{StepUnknown, "step_unknown", http.StatusNotFound, NotRun, 0, "No step has this ID."},
	{StepExists, "step_exists", http.StatusConflict, NotRun, 0, "A step with this ID and other settings exists."},
	{StepOwnerMoving, "step_owner_moving", http.StatusServiceUnavailable, NotRun, time.Second, "The step is moving to another owner. Pull again with the same cursor."},
	{StepBackPressure, "step_back_pressure", http.StatusServiceUnavailable, NotRun, 5 * time.Second, "Undelivered samples fill the memory set aside for them, for example in a store outage."},
	{StepExpired, "step_expired", http.StatusGone, NotRun, 0, "The step's deadline has passed."},
	{CursorAhead, "cursor_ahead", http.StatusBadRequest, NotRun, 0, "The cursor is malformed or names groups that the step does not have."},
	{CursorBehind, "cursor_behind", http.StatusConflict, NotRun, 0, "A later cursor of this step was shown; its groups are not kept any more."},

	{ScoreUnknown, "score_unknown", http.StatusBadGateway, MaybeRun, 0, "The scoring service may have run the group and its answer is lost. The service is not idempotent, so it is not called again, and the group comes without scores."},
	{ScoreTimeout, "score_timeout", http.StatusGatewayTimeout, MaybeRun, 0, "The group was not scored in its time, and comes without scores."},
	{ScoreInvalid, "score_invalid", http.StatusBadGateway, Ran, 0, "The scoring service's answer was not one score for each sample of the group, which comes without scores."},

	{VersionConflict, "version_conflict", http.StatusConflict, NotRun, 0, "Another change was committed first. Look at the difference and apply again."},
	{InvalidConfig, "invalid_config", http.StatusUnprocessableEntity, NotRun, 0, "The change would make the configuration invalid."},
	{CommitUnknown, "commit_unknown", http.StatusGatewayTimeout, MaybeRun, time.Second, "The store's answer was lost. Read the version to see whether the change was committed."},
	{ObjectUnknown, "object_unknown", http.StatusNotFound, NotRun, 0, "No object has this kind and name."},
	{MemberChangePending, "member_change_pending", http.StatusConflict, NotRun, 2 * time.Second, "The last change of the member list is not in force everywhere yet."},
	{OperatorUnknown, "operator_unknown", http.StatusUnauthorized, NotRun, 0, "The operator's token is missing or unknown."},

	{Internal, "internal", http.StatusInternalServerError, MaybeRun, time.Second, "A fault of this program. Report it with the request's ID."},
}
