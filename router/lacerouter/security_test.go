package lacerouter

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacetls"
	"lacewingcove/lib/lacewire"
)

const (
	chiefToken  = "token-of-the-chief"
	readerToken = "token-of-the-reader"
)

// secured is a world in which everything between processes runs over TLS.
type secured struct {
	*world
	dir       string
	authority authority
	listener  lacetls.Files
	operators string
	serial    int64
}

// node is a router process of a secured world.
type node struct {
	*router
	peer  string
	admin string
	files lacetls.Files
}

func newSecured(t *testing.T) *secured {
	t.Helper()
	s := &secured{
		world:     newWorld(t),
		dir:       t.TempDir(),
		authority: newAuthority(t),
		serial:    1,
	}
	s.scheme = "https"
	s.listener = s.issue("listener", s.authority)
	trust := newSource(t, lacetls.Files{Authority: s.listener.Authority})
	s.http.Transport = &http.Transport{DialTLSContext: trust.Dialer(testTimeout)}
	platform := httptest.NewUnstartedServer(s.platform.Handler())
	pair, err := tls.LoadX509KeyPair(s.listener.Certificate, s.listener.Key)
	if err != nil {
		t.Fatal(err)
	}
	platform.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	platform.StartTLS()
	t.Cleanup(func() {
		platform.CloseClientConnections()
		platform.Close()
	})
	s.url = platform.URL
	s.operators = filepath.Join(s.dir, "operators.yaml")
	s.write(fmt.Sprintf("operators:\n  chief: {token: %s, may: [accounts, budgets]}\n  reader: {token: %s}\n",
		laceadmin.Hash(chiefToken), laceadmin.Hash(readerToken)))
	return s
}

// issue writes a certificate with the next serial number into a directory of its own.
func (s *secured) issue(name string, a authority) lacetls.Files {
	s.t.Helper()
	s.serial++
	dir := filepath.Join(s.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		s.t.Fatal(err)
	}
	return a.issue(s.t, dir, s.serial)
}

func (s *secured) write(operators string) {
	s.t.Helper()
	if err := os.WriteFile(s.operators, []byte(operators), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *secured) run(name string) node {
	s.t.Helper()
	n := node{
		peer:  freePort(s.t),
		admin: freePort(s.t),
		files: s.issue(name, s.authority),
	}
	n.router = s.start(name,
		"-log.level", "debug",
		"-platform.tls.authority", s.listener.Authority,
		"-caller.tls.certificate", s.listener.Certificate, "-caller.tls.key", s.listener.Key,
		"-admin.tls.certificate", s.listener.Certificate, "-admin.tls.key", s.listener.Key,
		"-admin.listen", n.admin, "-admin.operators", s.operators,
		"-peer.listen", n.peer, "-peer.tls.authority", n.files.Authority,
		"-peer.tls.certificate", n.files.Certificate, "-peer.tls.key", n.files.Key)
	return n
}

// call sends a request with a bearer token.
func (s *secured) call(method, url, token, body string) (int, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	return s.send(request)
}

func (s *secured) administer(n node, method, path, token, body string) (int, string) {
	s.t.Helper()
	return s.call(method, "https://"+n.admin+laceadmin.Prefix+path, token, body)
}

// shown returns the serial number of the certificate that a listener shows, or zero when it refuses the client.
func (s *secured) shown(address string, client *lacetls.Source) int64 {
	d := tls.Dialer{Config: client.ClientConfig("127.0.0.1")}
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// peerCalls are one call of each service between instances.
func peerCalls() []string {
	return []string{
		lacewire.PeerPathPrefix + "Probe",
		lacewire.LedgerPathPrefix + "Balances",
		lacewire.ConfigPathPrefix + "Exchange",
		lacewire.GrantPathPrefix + "Recall",
	}
}

// Guards against a service between instances that answers someone without a certificate of the authority, and against
// callers or operators who are let in without the right key, token or right.
func TestOutsidersAreRefused(t *testing.T) {
	t.Parallel()
	s := newSecured(t)
	n := s.run("router-1")
	clients := map[string]*lacetls.Source{
		"member":         newSource(t, s.issue("member", s.authority)),
		"no certificate": newSource(t, lacetls.Files{Authority: s.listener.Authority}),
	}
	foreign := s.issue("foreign", newAuthority(t))
	foreign.Authority = s.listener.Authority // it trusts the instance, so that only the instance decides
	clients["other authority"] = newSource(t, foreign)
	for name, client := range clients {
		transport := &http.Transport{DialTLSContext: client.Dialer(testTimeout)}
		t.Cleanup(transport.CloseIdleConnections)
		s.http.Transport = transport
		for _, path := range peerCalls() {
			status, text := s.call(http.MethodPost, "https://"+n.peer+path, "", "{}")
			served := status != 0 && !strings.Contains(text, "bad_route") && !strings.Contains(text, "page not found")
			if served != (name == "member") {
				t.Errorf("%s at %s: %d %s", name, path, status, text)
			}
			if status, _ = s.call(http.MethodPost, "http://"+n.peer+path, "", "{}"); status != http.StatusBadRequest {
				t.Errorf("plain text at %s: %d", path, status)
			}
		}
	}
	chat := `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`
	topUp := "budgets/main/topup"
	for name, x := range map[string]struct {
		url, token, body string
		want             int
	}{
		"caller":                 {url: "https://" + n.address + "/v1/chat/completions", token: testKey, body: chat, want: 200},
		"unknown key":            {url: "https://" + n.address + "/v1/chat/completions", token: "unknown", body: chat, want: 401},
		"operator":               {url: "https://" + n.admin + laceadmin.Prefix + topUp, token: chiefToken, body: `{"id":"a","tokens":1}`, want: 200},
		"unknown token":          {url: "https://" + n.admin + laceadmin.Prefix + topUp, token: "unknown", body: `{"id":"b","tokens":1}`, want: 401},
		"operator without right": {url: "https://" + n.admin + laceadmin.Prefix + topUp, token: readerToken, body: `{"id":"c","tokens":1}`, want: 403},
	} {
		if status, text := s.call(http.MethodPost, x.url, x.token, x.body); status != x.want {
			t.Errorf("%s: %d %s", name, status, text)
		}
	}
}

// Guards against instances that lose each other, the platform or their callers when all of it runs over TLS.
func TestFleetWorksOverTLS(t *testing.T) {
	t.Parallel()
	s := newSecured(t)
	nodes := []node{s.run("router-1"), s.run("router-2")}
	for _, n := range nodes {
		s.until(n.name+" lists both", func() bool {
			_, text := s.get("https://" + n.address + "/v1/addresses")
			return strings.Contains(text, nodes[0].address) && strings.Contains(text, nodes[1].address)
		})
		if a := n.chat("chat-"+n.name, 20, nil); !a.whole || a.text != want("chat-"+n.name, 20) {
			t.Fatalf("%s: status %d, fault %q", n.name, a.status, a.fault)
		}
		// A new instance takes orders once another one has acknowledged it, which is a call between the two.
		s.until(n.name+" takes orders", func() bool {
			status, _ := n.order("order-" + n.name)
			return status == http.StatusOK
		})
	}
	// The platform is cut off from one instance, whose records then need the other one.
	s.platform.SetFaults(laceemulator.PlatformFaults{
		Partitions: map[string]laceemulator.Partition{"router-2": laceemulator.DropRequests},
	})
	if a := nodes[1].chat("forwarded", 20, nil); !a.whole {
		t.Fatalf("records through the other instance: status %d, fault %q", a.status, a.fault)
	}
}

// Guards against new certificates, authorities or operators that need a restart to come into force.
func TestFilesAreReloadedOnHangup(t *testing.T) {
	t.Parallel()
	s := newSecured(t)
	n := s.run("router-1")
	former := newSource(t, s.issue("member", s.authority))
	other := newAuthority(t)
	later := newSource(t, s.issue("later", other))
	if s.shown(n.peer, former) == 0 {
		t.Fatal("a member is refused")
	}
	s.issue("router-1", other)
	peer := s.serial
	s.issue("listener", s.authority)
	listener := s.serial
	s.write("operators:\n  chief: {token: " + laceadmin.Hash("next") + "}\n")
	n.signal(syscall.SIGHUP)
	s.until("new operators", func() bool {
		status, _ := s.administer(n, http.MethodGet, "budgets", "next", "")
		return status == http.StatusOK
	})
	if status, _ := s.administer(n, http.MethodGet, "budgets", chiefToken, ""); status != http.StatusUnauthorized {
		t.Errorf("former token: %d", status)
	}
	if x := s.shown(n.peer, later); x != peer {
		t.Errorf("between instances: serial %d, want %d", x, peer)
	}
	if x := s.shown(n.peer, former); x != 0 {
		t.Errorf("the former authority still counts: serial %d", x)
	}
	for _, address := range []string{n.address, n.admin} {
		if x := s.shown(address, newSource(t, lacetls.Files{Authority: s.listener.Authority})); x != listener {
			t.Errorf("%s: serial %d, want %d", address, x, listener)
		}
	}
}

// refusals sends requests that are refused, each with one of the secrets, and returns the answers by what was sent.
func (s *secured) refusals(n node, keys, tokens []string) map[string]string {
	s.t.Helper()
	shown := map[string]string{}
	note := func(name string, status int, text string) {
		shown[name] = text
		if status == 0 || status == http.StatusOK {
			s.t.Errorf("%s: %d %s", name, status, text)
		}
	}
	for _, key := range keys {
		status, text := s.call(http.MethodPost, "https://"+n.address+"/v1/chat/completions", key, `{"model":"`)
		note("chat with "+key, status, text)
		status, text = s.call(http.MethodPost, "https://"+n.address+"/v1/services/none/x", key, "")
		note("service with "+key, status, text)
	}
	edit := `{"id":"e","text":"accounts: {bakery: {keys: [{name: a, hash: ` + laceadmin.Hash(testKey) + `}, {name: b, hash: ` + testKey + `}]}}"}`
	rotation := `{"id":"r","name":"second","hash":"` + chiefToken + `"}`
	for _, token := range tokens {
		status, text := s.administer(n, http.MethodPost, "config/apply", token, edit)
		note("apply with "+token, status, text)
		status, text = s.administer(n, http.MethodPost, "accounts/bakery/rotate", token, rotation)
		note("rotate with "+token, status, text)
	}
	return shown
}

// audit adds the audit records to what has been shown.
func (s *secured) audit(shown map[string]string) {
	s.t.Helper()
	entries, _, err := s.local.List(context.Background(), "audit/")
	if err != nil || len(entries) < 2 {
		s.t.Fatalf("%d audit records, %v", len(entries), err)
	}
	for _, e := range entries {
		shown[string(e.Key)] = string(e.Value)
	}
}

// rotate lets an instance make a second key.
func (s *secured) rotate(n node) string {
	s.t.Helper()
	status, text := s.administer(n, http.MethodPost, "accounts/bakery/rotate", chiefToken, `{"id":"rotate","name":"second","drop":[]}`)
	var rotated laceadmin.RotationResult
	if err := json.Unmarshal([]byte(text), &rotated); err != nil || status != http.StatusOK || rotated.Key == "" {
		s.t.Fatalf("%d %s", status, text)
	}
	return rotated.Key
}

// Guards against a key, a token or a hash of one in what a run leaves behind or shows.
func TestNothingSecretIsShown(t *testing.T) {
	t.Parallel()
	s := newSecured(t)
	n, other := s.run("router-1"), s.run("router-2")
	if a := n.chat("paid", 20, nil); !a.whole {
		t.Fatalf("%d %s", a.status, a.fault)
	}
	key := s.rotate(n)
	s.until("the new key counts at the other instance", func() bool {
		status, _ := s.call(http.MethodGet, "https://"+other.address+"/v1/requests/none", key, "")
		return status != http.StatusUnauthorized
	})
	if status, text := s.administer(n, http.MethodPost, "budgets/main/topup", chiefToken, `{"id":"top","tokens":5}`); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	keys, tokens := []string{testKey, key, "wrong-secret"}, []string{chiefToken, readerToken, "wrong-secret"}
	shown := s.refusals(n, keys, tokens)
	_, shown["metrics"] = s.get("https://" + n.address + "/metrics")
	_, shown["history"] = s.administer(n, http.MethodGet, "config/history", readerToken, "")
	s.audit(shown)
	// A file whose token is no hash, in a form that the decoder refuses as a whole.
	s.issue("listener", s.authority)
	s.write("operators:\n  chief: {token: " + chiefToken + "}\n  " + readerToken + "\n  x: [" + laceadmin.Hash(readerToken) + "\n")
	n.signal(syscall.SIGHUP)
	s.until("certificates reloaded", func() bool {
		return s.shown(n.address, newSource(t, lacetls.Files{Authority: s.listener.Authority})) == s.serial
	})
	for _, x := range []node{n, other} {
		x.signal(syscall.SIGTERM)
		<-x.ended
		shown["log of "+x.name] = x.log.String()
	}
	if !strings.Contains(shown["log of router-1"], "not reloaded") {
		t.Errorf("the refused file is not logged:\n%s", shown["log of router-1"])
	}
	for name, text := range shown {
		for _, secret := range append(keys, tokens...) {
			if strings.Contains(text, secret) || strings.Contains(text, laceadmin.Hash(secret)) {
				t.Errorf("%s shows %q or its hash:\n%s", name, secret, text)
			}
		}
	}
}
