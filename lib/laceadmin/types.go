package laceadmin

import (
	"encoding/json"
	"time"
)

// Prefix is the path prefix of the API.
const Prefix = "/admin/v1/"

// maxBodyBytes limits a request body; a complete document of the design scale has 3 MB.
const maxBodyBytes = 16 << 20

// Document is the configuration as YAML text, including the version stamps that an edit of it is based on.
type Document struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Proposal is an edit of one or more sections as YAML text; a plan ignores ID.
type Proposal struct {
	ID   string `json:"id,omitempty"`
	Text string `json:"text"`
}

// Change is the change of one entry, before and after as YAML text with truncated key hashes.
type Change struct {
	Section string `json:"section"`
	Entry   string `json:"entry,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// EditResult is the result of a plan or of an accepted edit.
type EditResult struct {
	Version  uint64   `json:"version"`
	Repeated bool     `json:"repeated,omitempty"`
	Changes  []Change `json:"changes"`
}

// Record is one accepted change of the configuration.
type Record struct {
	Version uint64    `json:"version"`
	EditID  string    `json:"edit"`
	Author  string    `json:"who"`
	Time    time.Time `json:"when"`
	Changes []Change  `json:"changes"`
}

// History lists records, newest first.
type History struct {
	Records []Record `json:"records"`
}

// Account is a client account; its keys are listed with the first 8 digits of their hashes.
type Account struct {
	ID      string   `json:"id"`
	Name    string   `json:"name,omitempty"`
	Keys    []Key    `json:"keys"`
	Budgets []string `json:"budgets"`
}

// Key is an API key of a client account.
type Key struct {
	Name       string `json:"name"`
	HashPrefix string `json:"hash"`
	Budget     string `json:"budget,omitempty"`
}

// Accounts lists client accounts.
type Accounts struct {
	Accounts []Account `json:"accounts"`
}

// Rotation adds an API key to a client account and optionally removes others in the same change.
type Rotation struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	// Hash is the SHA-256 of the new key; if it is empty the instance generates a key and returns it once.
	Hash   string   `json:"hash,omitempty"`
	Budget string   `json:"budget,omitempty"`
	Drop   []string `json:"drop,omitempty"`
}

// RotationResult is the result of a rotation; Key is set only when the instance generated the key.
type RotationResult struct {
	Version  uint64 `json:"version"`
	Repeated bool   `json:"repeated,omitempty"`
	Key      string `json:"key,omitempty"`
}

// Budget is the balance of a budget in tokens.
type Budget struct {
	ID          string  `json:"id"`
	Account     string  `json:"account"`
	Paid        int64   `json:"paid"`
	Settled     int64   `json:"settled"`
	Outstanding int64   `json:"outstanding"`
	Remaining   int64   `json:"left"`
	Grants      []Grant `json:"grants,omitempty"`
}

// Grant is the part of a budget that is granted to an incarnation of an instance; amounts are in tokens.
type Grant struct {
	ID          string   `json:"id"`
	Budget      string   `json:"budget"`
	Instance    string   `json:"instance"`
	Incarnation string   `json:"incarnation"`
	Tokens      int64    `json:"tokens"`
	Reserved    int64    `json:"reserved"`
	Offline     int64    `json:"offline"`
	Closed      bool     `json:"closed"`
	Witnesses   []string `json:"witnesses,omitempty"`
}

// Budgets lists budgets.
type Budgets struct {
	Budgets []Budget `json:"budgets"`
}

// Grants lists grants.
type Grants struct {
	Grants []Grant `json:"grants"`
}

// TopUp adds paid tokens to a budget, at most once per id.
type TopUp struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Order is the body of a request that has no parameter besides its id.
type Order struct {
	ID string `json:"id"`
}

// ServerOrder is a command to a model engine to load something or to change its role; Kind determines which of the
// other fields apply.
type ServerOrder struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// ActionResult is the result of a top-up, a release, a fence, a drain or an order.
type ActionResult struct {
	ID       string `json:"id"`
	Repeated bool   `json:"repeated,omitempty"`
	// Tokens is the number of tokens added or released.
	Tokens int64 `json:"tokens,omitempty"`
}

// Instance is a router instance of the membership.
type Instance struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
}

// Instances lists instances.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// BackendServer is a backend server of the configuration.
type BackendServer struct {
	ID              string   `json:"id"`
	Kind            string   `json:"kind"`
	Address         string   `json:"address"`
	Region          string   `json:"region,omitempty"`
	Zone            string   `json:"zone,omitempty"`
	Models          []string `json:"models,omitempty"`
	Services        []string `json:"services,omitempty"`
	Slots           int      `json:"slots"`
	SupportsFencing bool     `json:"fencing"`
	Leaving         bool     `json:"leaving"`
}

// Servers lists backend servers.
type Servers struct {
	Servers []BackendServer `json:"servers"`
}

func encodeJSON(v any) ([]byte, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	return append(text, '\n'), err
}
