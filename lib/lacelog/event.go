package lacelog

// Event names a kind of line.
type Event string

// The events of a process.
const (
	Start  Event = "start"
	Stop   Event = "stop"
	Reload Event = "reload"
	// Lost and Regained speak of a dependency.
	SyncLost     Event = "lost"
	SyncRestored Event = "regained"
	// Config is a new version in force, Rejected one that can't be read.
	Config        Event = "config"
	InputRejected Event = "rejected"
	// Server is a backend server that appeared, changed or left; Member an instance.
	ServerState Event = "server"
	MemberState Event = "member"
	// Active is a change of how many instances take callers.
	ActiveCount Event = "active"
	// Role is a change of whether this instance takes callers or stands by.
	Role Event = "role"
	// News is a change of where the news of an instance that stands by comes from.
	SyncSource Event = "news"
	// Transfer is news of another instance that was too large for a round and took long, or failed.
	Transfer Event = "transfer"
	// Limit is a change of what this instance may send to a server that has named a limit.
	RateLimit Event = "limit"
	// Draw is a change of what this instance may spend of a budget.
	BudgetUpdate Event = "draw"
	// Loan is tokens that one instance hands to another.
	Loan Event = "loan"
	// Refused is a request that this instance did not run.
	RequestRejected Event = "refused"
	// Placed is the choice of a server for an attempt, Attempt how it ended.
	Placed  Event = "placed"
	Attempt Event = "attempt"
	// Done is the end of a request as its caller saw it.
	Done Event = "done"
	// Fault is an error that no request saw.
	InternalError Event = "fault"
)

// Field is a key of a line.
type Field string

// The fields that lines share; lacectl explain reads them by these names.
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
