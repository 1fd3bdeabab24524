package lacetrace

type wireLine struct {
	Spec      *wireSpec     `json:"spec,omitempty"`
	Picked    *wirePicked   `json:"picked,omitempty"`
	Unpicked  *wireFault    `json:"unpicked,omitempty"`
	Chunk     *wireChunk    `json:"chunk,omitempty"`
	Ended     *wireEnded    `json:"ended,omitempty"`
	Replied   *wireResponse `json:"replied,omitempty"`
	Failed    *wireFailed   `json:"failed,omitempty"`
	Durable   *wireVerdict  `json:"durable,omitempty"`
	Billed    *wireVerdict  `json:"billed,omitempty"`
	Voided    *wireVerdict  `json:"voided,omitempty"`
	Copied    *wireOK       `json:"copied,omitempty"`
	Regranted *wireGrant    `json:"regranted,omitempty"`
	Found     *wireOK       `json:"found,omitempty"`
	Gone      *struct{}     `json:"gone,omitempty"`
}

type wireSpec struct {
	Account       string `json:"account"`
	Request       string `json:"request"`
	Budget        string `json:"budget"`
	Digest        string `json:"digest,omitempty"`
	LedgerAttempt string `json:"claim"`
	Grant         string `json:"grant"`
	Ceiling       int64  `json:"ceiling"`
	Prompt        int64  `json:"prompt,omitempty"`
	Price         int64  `json:"price,omitempty"`
	Idempotent    bool   `json:"idempotent,omitempty"`
	Offline       bool   `json:"offline,omitempty"`
	AlreadyBilled bool   `json:"billed,omitempty"`
	CanResume     bool   `json:"resume,omitempty"`
	CanLookup     bool   `json:"lookup,omitempty"`
	MaxAttempts   int    `json:"tries,omitempty"`
}

type wirePicked struct {
	Server string `json:"server"`
}

type wireFault struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}

type wireChunk struct {
	Attempt string `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
}

type wireEnded struct {
	Attempt string `json:"attempt"`
	Prompt  int64  `json:"prompt"`
	Output  int64  `json:"output"`
}

type wireResponse struct {
	Attempt     string `json:"attempt"`
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        string `json:"body,omitempty"`
}

type wireFailed struct {
	Attempt string `json:"attempt"`
	Ran     string `json:"ran"`
	Final   bool   `json:"final,omitempty"`
}

type wireVerdict struct {
	Result         string            `json:"result,omitempty"`
	Unacknowledged bool              `json:"lost,omitempty"`
	NotAppended    bool              `json:"certain,omitempty"`
	Existing       *wireRequestState `json:"existing,omitempty"`
}

type wireRequestState struct {
	Phase    string        `json:"phase"`
	Attempt  string        `json:"attempt"`
	Server   string        `json:"server,omitempty"`
	Response *wireResponse `json:"answer,omitempty"`
}

type wireOK struct {
	OK bool `json:"ok"`
}

type wireGrant struct {
	Grant string     `json:"grant,omitempty"`
	Fault *wireFault `json:"fault,omitempty"`
}
