package laceadmin

import (
	"encoding/json"
	"time"
)

// Prefix is the path below which the API is served.
const Prefix = "/admin/v1/"

// maxBody bounds a request; a whole document of the design scale has 3 MB.
const maxBody = 16 << 20

// Document is the configuration as YAML text, with the state that an edit of it starts from.
type Document struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Proposal is a file of one or more sections as YAML text; ID is not used by a plan.
type Proposal struct {
	ID   string `json:"id,omitempty"`
	Text string `json:"text"`
}

// Change is the change of one entry as YAML texts with shortened key hashes.
type Change struct {
	Section string `json:"section"`
	Entry   string `json:"entry,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// Outcome is a plan, or an accepted edit.
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

// Account is a client account; keys are listed with the first 8 digits of their hash.
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

// Rotation adds an API key to a client account and may drop others in the same change.
type Rotation struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	// Hash is the SHA-256 of the new key; without it the instance makes a key and returns it once.
	Hash   string   `json:"hash,omitempty"`
	Budget string   `json:"budget,omitempty"`
	Drop   []string `json:"drop,omitempty"`
}

// Rotated is the outcome of a rotation; Key is set only when the instance made the key.
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

// Grant is a grant in tokens.
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

// TopUp adds paid tokens to a budget, once for each id.
type TopUp struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Order is a request that needs no more than an id.
type Order struct {
	ID string `json:"id"`
}

// ServerOrder tells a model engine what to load or which role to take; Kind says which of the others count.
type ServerOrder struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Done is the outcome of a top-up, a release, a fence, a drain or an order.
type ActionResult struct {
	ID       string `json:"id"`
	Repeated bool   `json:"repeated,omitempty"`
	// Tokens are those added or released.
	Tokens int64 `json:"tokens,omitempty"`
}

// Instance is a router instance as the membership knows it.
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

func encode(v any) ([]byte, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	return append(text, '\n'), err
}
