package lacelog

// Event is the type of a log line.
type Event string

// The event types of an instance.
const (
	Start  Event = "start"
	Stop   Event = "stop"
	Reload Event = "reload"
	// SyncLost means that updates of this instance's copy of a part of the store fail or are late, SyncRestored that they
	// arrive again.
	SyncLost     Event = "lost"
	SyncRestored Event = "regained"
	// StoreRestored is a copy that was replaced because the store was restored from a backup.
	StoreRestored Event = "restored"
	// Config is a new configuration version in force, InputRejected a stored entry or a message of another instance that
	// can't be decoded.
	Config        Event = "config"
	InputRejected Event = "rejected"
	// ServerState is a backend server that was added, changed or removed, MemberState the same of an instance.
	ServerState Event = "server"
	MemberState Event = "member"
	// ActiveCount is a change of the number of active instances, which serve client requests.
	ActiveCount Event = "active"
	// Role is a change of this instance between active and standby.
	Role Event = "role"
	// SyncSource is a change of the source, a peer or the store, from which a standby instance updates its copies of the
	// store.
	SyncSource Event = "news"
	// Transfer is a fetch of changes from a peer that exceeded the size limit of a round and was slow, or failed.
	Transfer Event = "transfer"
	// Link is a change between a saturated link and one with room.
	Link Event = "link"
	// Reach is the begin or the end of a time in which this instance reaches no backend server.
	Reach Event = "reach"
	// RateLimit is a change of this instance's share of a rate limit that a backend server has announced.
	RateLimit Event = "limit"
	// Quarantine is a new, changed or ended verdict on prompt parts that crash backend servers.
	Quarantine Event = "quarantine"
	// BudgetUpdate is a change of this instance's cap on its spend of a budget.
	BudgetUpdate Event = "draw"
	// Loan is a transfer of tokens from one instance to another.
	Loan Event = "loan"
	// RequestRejected is a request that this instance rejected without running it.
	RequestRejected Event = "refused"
	// Placed is the choice of a backend server for an attempt, Attempt the outcome of the attempt.
	Placed  Event = "placed"
	Attempt Event = "attempt"
	// Crash is an attempt that broke off because its server crashed.
	Crash Event = "crash"
	// Done is the outcome of a request as seen by its client.
	Done Event = "done"
	// ClientShortage is the begin or the end of a time in which clients hold all memory or connections that they may
	// hold.
	ClientShortage Event = "clients"
	// InternalError is an error that no client sees.
	InternalError Event = "fault"
)

// Field is the key of a field.
type Field string

// The common fields; lacectl explain reads them by these names.
const (
	Request       Field = "request"
	Account       Field = "account"
	Route         Field = "route"
	Service       Field = "service"
	ServerID      Field = "server"
	AttemptNumber Field = "attempt"
	Outcome       Field = "outcome"
	Reason        Field = "reason"
	Status        Field = "status"
	Version       Field = "version"
	Revision      Field = "revision"
	Age           Field = "age_ms"
	Took          Field = "took_ms"
	Remaining     Field = "left_ms"
	Load          Field = "load"
	Events        Field = "events"
	Tokens        Field = "tokens"
	Held          Field = "held"
	Used          Field = "used"
	Cap           Field = "cap"
	RetryAfter    Field = "retry_ms"
	Suppressed    Field = "skipped"
)
