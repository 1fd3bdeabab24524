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
	adminToken  = "token-of-the-chief"
	readerToken = "token-of-the-reader"
)

// tlsCluster is a test cluster in which all connections between processes use TLS.
type tlsCluster struct {
	*testCluster
	dir           string
	authority     testAuthority
	listenerFiles lacetls.Files
	operatorsFile string
	serial        int64
}

// tlsRouter is a router process of a TLS cluster.
type tlsRouter struct {
	*router
	peer  string
	admin string
	files lacetls.Files
}

func newTLSCluster(t *testing.T) *tlsCluster {
	t.Helper()
	s := &tlsCluster{
		testCluster: newTestCluster(t),
		dir:         t.TempDir(),
		authority:   newAuthority(t),
		serial:      1,
	}
	s.callerScheme = "https"
	s.listenerFiles = s.issue("listener", s.authority)
	trust := newSource(t, lacetls.Files{Authority: s.listenerFiles.Authority})
	s.client.Transport = &http.Transport{DialTLSContext: trust.Dialer(testTimeout)}
	platform := httptest.NewUnstartedServer(s.platform.Handler())
	pair, err := tls.LoadX509KeyPair(s.listenerFiles.Certificate, s.listenerFiles.Key)
	if err != nil {
		t.Fatal(err)
	}
	platform.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	platform.StartTLS()
	t.Cleanup(func() {
		platform.CloseClientConnections()
		platform.Close()
	})
	s.platformURL = platform.URL
	s.operatorsFile = filepath.Join(s.dir, "operators.yaml")
	s.writeOperators(fmt.Sprintf("operators:\n  chief: {token: %s, may: [accounts, budgets]}\n  reader: {token: %s}\n",
		laceadmin.Hash(adminToken), laceadmin.Hash(readerToken)))
	return s
}

// issue writes a certificate with the next serial number to the directory with the given name.
func (s *tlsCluster) issue(name string, a testAuthority) lacetls.Files {
	s.t.Helper()
	s.serial++
	dir := filepath.Join(s.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		s.t.Fatal(err)
	}
	return a.issue(s.t, dir, s.serial)
}

func (s *tlsCluster) writeOperators(operators string) {
	s.t.Helper()
	if err := os.WriteFile(s.operatorsFile, []byte(operators), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *tlsCluster) startRouter(name string) tlsRouter {
	s.t.Helper()
	n := tlsRouter{
		peer:  freePort(s.t),
		admin: freePort(s.t),
		files: s.issue(name, s.authority),
	}
	n.router = s.start(name,
		"-log.level", "debug",
		"-platform.tls.authority", s.listenerFiles.Authority,
		"-caller.tls.certificate", s.listenerFiles.Certificate, "-caller.tls.key", s.listenerFiles.Key,
		"-admin.tls.certificate", s.listenerFiles.Certificate, "-admin.tls.key", s.listenerFiles.Key,
		"-admin.listen", n.admin, "-admin.operators", s.operatorsFile,
		"-peer.listen", n.peer, "-peer.tls.authority", n.files.Authority,
		"-peer.tls.certificate", n.files.Certificate, "-peer.tls.key", n.files.Key)
	return n
}

// call sends a request with a bearer token.
func (s *tlsCluster) call(method, url, token, body string) (int, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	return s.send(request)
}

func (s *tlsCluster) adminCall(n tlsRouter, method, path, token, body string) (int, string) {
	s.t.Helper()
	return s.call(method, "https://"+n.admin+laceadmin.Prefix+path, token, body)
}

// presentedSerial returns the serial number of the certificate that a listener presents, or zero if it rejects the
// client.
func (s *tlsCluster) presentedSerial(address string, client *lacetls.Source) int64 {
	d := tls.Dialer{Config: client.ClientConfig("127.0.0.1")}
	c, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// peerPaths returns the path of one method of each service between instances.
func peerPaths() []string {
	return []string{
		lacewire.PeerPathPrefix + "Probe",
		lacewire.LedgerPathPrefix + "Balances",
		lacewire.ConfigPathPrefix + "Exchange",
		lacewire.GrantPathPrefix + "Recall",
	}
}

// Guards against a service between instances that accepts clients without a certificate of the authority, and against
// callers or operators who are accepted without a valid key, token or right.
func TestUnauthorizedClientsAreRefused(t *testing.T) {
	t.Parallel()
	s := newTLSCluster(t)
	n := s.startRouter("router-1")
	clients := map[string]*lacetls.Source{
		"member":         newSource(t, s.issue("member", s.authority)),
		"no certificate": newSource(t, lacetls.Files{Authority: s.listenerFiles.Authority}),
	}
	foreign := s.issue("foreign", newAuthority(t))
	foreign.Authority = s.listenerFiles.Authority // it trusts the instance, so only the instance can reject the connection
	clients["other authority"] = newSource(t, foreign)
	for name, client := range clients {
		transport := &http.Transport{DialTLSContext: client.Dialer(testTimeout)}
		t.Cleanup(transport.CloseIdleConnections)
		s.client.Transport = transport
		for _, path := range peerPaths() {
			status, text := s.call(http.MethodPost, "https://"+n.peer+path, "", "{}")
			served := status != 0 && !strings.Contains(text, "bad_route") && !strings.Contains(text, "page not found")
			if served != (name == "member") {
				t.Errorf("%s at %s: %d %s", name, path, status, text)
			}
			if status, _ = s.call(http.MethodPost, "http://"+n.peer+path, "", "{}"); status != http.StatusBadRequest {
				t.Errorf("plaintext at %s: %d", path, status)
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
		"operator":               {url: "https://" + n.admin + laceadmin.Prefix + topUp, token: adminToken, body: `{"id":"a","tokens":1}`, want: 200},
		"unknown token":          {url: "https://" + n.admin + laceadmin.Prefix + topUp, token: "unknown", body: `{"id":"b","tokens":1}`, want: 401},
		"operator without right": {url: "https://" + n.admin + laceadmin.Prefix + topUp, token: readerToken, body: `{"id":"c","tokens":1}`, want: 403},
	} {
		if status, text := s.call(http.MethodPost, x.url, x.token, x.body); status != x.want {
			t.Errorf("%s: %d %s", name, status, text)
		}
	}
}

// Guards against instances that can't reach each other, the platform or their callers over TLS.
func TestFleetWorksOverTLS(t *testing.T) {
	t.Parallel()
	s := newTLSCluster(t)
	routers := []tlsRouter{s.startRouter("router-1"), s.startRouter("router-2")}
	for _, n := range routers {
		s.waitFor(n.name+" lists both", func() bool {
			_, text := s.get("https://" + n.address + "/v1/addresses")
			return strings.Contains(text, routers[0].address) && strings.Contains(text, routers[1].address)
		})
		if c := n.chat("chat-"+n.name, 20, nil); !c.complete || c.text != expectedText("chat-"+n.name, 20) {
			t.Fatalf("%s: status %d, error %q", n.name, c.status, c.errorText)
		}
		// A new instance accepts orders once another one has acknowledged it, which needs a call between the two.
		s.waitFor(n.name+" accepts orders", func() bool {
			status, _ := n.placeOrder("order-" + n.name)
			return status == http.StatusOK
		})
	}
	// One instance is partitioned from the platform, so its ledger records have to go through the other one.
	s.platform.SetFaults(laceemulator.PlatformFaults{
		Partitions: map[string]laceemulator.Partition{"router-2": laceemulator.DropRequests},
	})
	if c := routers[1].chat("forwarded", 20, nil); !c.complete {
		t.Fatalf("records through the other instance: status %d, error %q", c.status, c.errorText)
	}
}

// Guards against new certificates, authorities or operators that take effect only after a restart.
func TestFilesAreReloadedOnSIGHUP(t *testing.T) {
	t.Parallel()
	s := newTLSCluster(t)
	n := s.startRouter("router-1")
	previousClient := newSource(t, s.issue("member", s.authority))
	newCA := newAuthority(t)
	newClient := newSource(t, s.issue("later", newCA))
	if s.presentedSerial(n.peer, previousClient) == 0 {
		t.Fatal("a member is rejected")
	}
	s.issue("router-1", newCA)
	peerSerial := s.serial
	s.issue("listener", s.authority)
	listenerSerial := s.serial
	s.writeOperators("operators:\n  chief: {token: " + laceadmin.Hash("next") + "}\n")
	n.signal(syscall.SIGHUP)
	s.waitFor("new operators", func() bool {
		status, _ := s.adminCall(n, http.MethodGet, "budgets", "next", "")
		return status == http.StatusOK
	})
	if status, _ := s.adminCall(n, http.MethodGet, "budgets", adminToken, ""); status != http.StatusUnauthorized {
		t.Errorf("previous token: %d", status)
	}
	if x := s.presentedSerial(n.peer, newClient); x != peerSerial {
		t.Errorf("between instances: serial %d, want %d", x, peerSerial)
	}
	if x := s.presentedSerial(n.peer, previousClient); x != 0 {
		t.Errorf("the previous authority is still accepted: serial %d", x)
	}
	for _, address := range []string{n.address, n.admin} {
		if x := s.presentedSerial(address,
			newSource(t, lacetls.Files{Authority: s.listenerFiles.Authority})); x != listenerSerial {
			t.Errorf("%s: serial %d, want %d", address, x, listenerSerial)
		}
	}
}

// sendRefusedRequests sends requests that are refused, each with one of the secrets, and returns the response bodies by
// the description of the request.
func (s *tlsCluster) sendRefusedRequests(n tlsRouter, keys, tokens []string) map[string]string {
	s.t.Helper()
	outputs := map[string]string{}
	record := func(name string, status int, text string) {
		outputs[name] = text
		if status == 0 || status == http.StatusOK {
			s.t.Errorf("%s: %d %s", name, status, text)
		}
	}
	for _, key := range keys {
		status, text := s.call(http.MethodPost, "https://"+n.address+"/v1/chat/completions", key, `{"model":"`)
		record("chat with "+key, status, text)
		status, text = s.call(http.MethodPost, "https://"+n.address+"/v1/services/none/x", key, "")
		record("service with "+key, status, text)
	}
	edit := `{"id":"e","text":"accounts: {bakery: {keys: [{name: a, hash: ` + laceadmin.Hash(testKey) + `}, {name: b, hash: ` + testKey + `}]}}"}`
	rotation := `{"id":"r","name":"second","hash":"` + adminToken + `"}`
	for _, token := range tokens {
		status, text := s.adminCall(n, http.MethodPost, "config/apply", token, edit)
		record("apply with "+token, status, text)
		status, text = s.adminCall(n, http.MethodPost, "accounts/bakery/rotate", token, rotation)
		record("rotate with "+token, status, text)
	}
	return outputs
}

// addAuditRecords adds the audit records to the outputs.
func (s *tlsCluster) addAuditRecords(outputs map[string]string) {
	s.t.Helper()
	entries, _, err := s.local.List(context.Background(), "audit/")
	if err != nil || len(entries) < 2 {
		s.t.Fatalf("%d audit records, %v", len(entries), err)
	}
	for _, e := range entries {
		outputs[string(e.Key)] = string(e.Value)
	}
}

// rotateKey makes an instance create a second key.
func (s *tlsCluster) rotateKey(n tlsRouter) string {
	s.t.Helper()
	status, text := s.adminCall(n, http.MethodPost, "accounts/bakery/rotate", adminToken, `{"id":"rotate","name":"second","drop":[]}`)
	var rotated laceadmin.RotationResult
	if err := json.Unmarshal([]byte(text), &rotated); err != nil || status != http.StatusOK || rotated.Key == "" {
		s.t.Fatalf("%d %s", status, text)
	}
	return rotated.Key
}

// Guards against a key, a token or the hash of one in responses, metrics, audit records or logs.
func TestSecretsAreNotExposed(t *testing.T) {
	t.Parallel()
	s := newTLSCluster(t)
	n, other := s.startRouter("router-1"), s.startRouter("router-2")
	if c := n.chat("paid", 20, nil); !c.complete {
		t.Fatalf("%d %s", c.status, c.errorText)
	}
	key := s.rotateKey(n)
	s.waitFor("the other instance accepts the new key", func() bool {
		status, _ := s.call(http.MethodGet, "https://"+other.address+"/v1/requests/none", key, "")
		return status != http.StatusUnauthorized
	})
	if status, text := s.adminCall(n, http.MethodPost, "budgets/main/topup", adminToken, `{"id":"top","tokens":5}`); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	keys, tokens := []string{testKey, key, "wrong-secret"}, []string{adminToken, readerToken, "wrong-secret"}
	outputs := s.sendRefusedRequests(n, keys, tokens)
	_, outputs["metrics"] = s.get("https://" + n.address + "/metrics")
	_, outputs["history"] = s.adminCall(n, http.MethodGet, "config/history", readerToken, "")
	s.addAuditRecords(outputs)
	// An operators file with a token that is not a hash, and with a syntax error, so that the whole file is rejected.
	s.issue("listener", s.authority)
	s.writeOperators("operators:\n  chief: {token: " + adminToken + "}\n  " + readerToken + "\n  x: [" + laceadmin.Hash(readerToken) + "\n")
	n.signal(syscall.SIGHUP)
	s.waitFor("certificates reloaded", func() bool {
		return s.presentedSerial(n.address,
			newSource(t, lacetls.Files{Authority: s.listenerFiles.Authority})) == s.serial
	})
	for _, x := range []tlsRouter{n, other} {
		x.signal(syscall.SIGTERM)
		<-x.exited
		outputs["log of "+x.name] = x.log.String()
	}
	if !strings.Contains(outputs["log of router-1"], "not reloaded") {
		t.Errorf("the rejected file is not logged:\n%s", outputs["log of router-1"])
	}
	for name, text := range outputs {
		for _, secret := range append(keys, tokens...) {
			if strings.Contains(text, secret) || strings.Contains(text, laceadmin.Hash(secret)) {
				t.Errorf("%s shows %q or its hash:\n%s", name, secret, text)
			}
		}
	}
}
