package lacesetting

import (
	"net"
	"os"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// complete fills in what follows from other settings.
func complete(s *Settings) {
	if s.Caller.Advertise == "" && isPublic(string(s.Caller.Listen)) {
		s.Caller.Advertise = s.Caller.Listen
	}
	if s.Peer.Advertise == "" && isPublic(string(s.Peer.Listen)) {
		s.Peer.Advertise = s.Peer.Listen
	}
}

type checker struct {
	lines  laceyaml.Lines
	faults laceyaml.Faults
}

func (c *checker) fail(path, expected, found string) {
	c.faults = append(c.faults, laceyaml.Fault{
		Line:     c.lines.Near(path),
		Path:     path,
		Expected: expected,
		Found:    found,
	})
}

// check reports what no single setting shows.
func check(s Settings, lines laceyaml.Lines) laceyaml.Faults {
	c := &checker{
		lines: lines,
	}
	c.listener("caller", s.Caller.Listen, s.Caller.TLS)
	c.listener("peer", s.Peer.Listen, s.Peer.TLS)
	c.listener("admin", s.Admin.Listen, s.Admin.TLS)
	c.public("caller", s.Caller.Listen, s.Caller.Advertise)
	c.public("peer", s.Peer.Listen, s.Peer.Advertise)
	c.pair("caller.tls", s.Caller.TLS)
	c.pair("peer.tls", s.Peer.TLS)
	c.pair("admin.tls", s.Admin.TLS)
	c.pair("platform.tls", s.Platform.TLS)
	// Without an authority any certificate would do, and an outsider could write to the ledger as an instance.
	if !s.Peer.TLS.IsZero() && s.Peer.TLS.Authority == "" {
		c.fail("peer.tls.authority", "a file, because TLS between instances is mutual", "")
	}
	if len(s.Platform.Endpoints) == 0 {
		c.fail("platform.endpoints", "at least one URL", "")
	}
	c.distinct(s)
	c.file("admin.operators", s.Admin.OperatorsFile)
	return c.faults
}

// listener refuses plain text where others could read API keys or operator tokens.
func (c *checker) listener(name string, listen laceunit.Address, t TLS) {
	if t.IsZero() && !isLoopback(listen) && isListen(string(listen)) {
		c.fail(name+".tls", "a certificate and a key, or a loopback address in "+name+".listen", string(listen))
	}
}

func (c *checker) public(name string, listen, public laceunit.Address) {
	host, port, err := net.SplitHostPort(string(listen))
	if err != nil || (port == "0" && isPublic(net.JoinHostPort(host, "1"))) {
		return // with a free port the process learns its address when it listens
	}
	if public == "" && isListen(string(listen)) {
		c.fail(name+".public", "an address, because "+name+".listen is not one that others can reach", "")
	}
}

func (c *checker) pair(path string, t TLS) {
	if t.Certificate == "" && t.Key != "" {
		c.fail(path+".certificate", "a file, because a key is given", "")
	}
	if t.Key == "" && t.Certificate != "" {
		c.fail(path+".key", "a file, because a certificate is given", "")
	}
	c.file(path+".certificate", t.Certificate)
	c.file(path+".key", t.Key)
	c.file(path+".authority", t.Authority)
}

func (c *checker) file(path, name string) {
	if name == "" {
		return
	}
	f, err := os.Open(name)
	if err != nil {
		c.fail(path, "a readable file", name)
		return
	}
	_ = f.Close()
}

func (c *checker) distinct(s Settings) {
	seen := map[laceunit.Address]string{}
	for _, x := range []struct {
		path    string
		address laceunit.Address
	}{
		{path: "caller.listen", address: s.Caller.Listen},
		{path: "peer.listen", address: s.Peer.Listen},
		{path: "admin.listen", address: s.Admin.Listen},
	} {
		if _, port, err := net.SplitHostPort(string(x.address)); err != nil || port == "0" {
			continue
		}
		if other, ok := seen[x.address]; ok {
			c.fail(x.path, "an address other than "+other, string(x.address))
		}
		seen[x.address] = x.path
	}
}
