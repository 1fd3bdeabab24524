package lacesetting

import (
	"net"
	"os"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// applyDerivedDefaults sets unset advertise addresses to the listen addresses that other hosts can connect to.
func applyDerivedDefaults(s *Settings) {
	if s.Caller.Advertise == "" && isAdvertiseAddress(string(s.Caller.Listen)) {
		s.Caller.Advertise = s.Caller.Listen
	}
	if s.Peer.Advertise == "" && isAdvertiseAddress(string(s.Peer.Listen)) {
		s.Peer.Advertise = s.Peer.Listen
	}
}

type validator struct {
	lines  laceyaml.Lines
	faults laceyaml.Faults
}

func (c *validator) addFault(path, expected, found string) {
	c.faults = append(c.faults, laceyaml.Fault{
		Line:     c.lines.Near(path),
		Path:     path,
		Expected: expected,
		Found:    found,
	})
}

// validate returns the faults that only a comparison of several settings or a look at the file system shows.
func validate(s Settings, lines laceyaml.Lines) laceyaml.Faults {
	c := &validator{
		lines: lines,
	}
	c.checkListener("caller", s.Caller.Listen, s.Caller.TLS)
	c.checkListener("peer", s.Peer.Listen, s.Peer.TLS)
	c.checkListener("admin", s.Admin.Listen, s.Admin.TLS)
	c.checkAdvertise("caller", s.Caller.Listen, s.Caller.Advertise)
	c.checkAdvertise("peer", s.Peer.Listen, s.Peer.Advertise)
	c.checkTLSFiles("caller.tls", s.Caller.TLS)
	c.checkTLSFiles("peer.tls", s.Peer.TLS)
	c.checkTLSFiles("admin.tls", s.Admin.TLS)
	c.checkTLSFiles("platform.tls", s.Platform.TLS)
	// Without an authority any certificate would be accepted, and an outsider could write to the ledger as an instance.
	if !s.Peer.TLS.IsZero() && s.Peer.TLS.Authority == "" {
		c.addFault("peer.tls.authority", "a file, because TLS between instances is mutual", "")
	}
	if len(s.Platform.Endpoints) == 0 {
		c.addFault("platform.endpoints", "at least one URL", "")
	}
	c.checkDistinctListeners(s)
	c.checkFile("admin.operators", s.Admin.OperatorsFile)
	return c.faults
}

// checkListener rejects plain text on addresses other than loopback, where API keys and operator tokens could be read
// on the network.
func (c *validator) checkListener(name string, listen laceunit.Address, t TLS) {
	if t.IsZero() && !isLoopback(listen) && isListenAddress(string(listen)) {
		c.addFault(name+".tls", "a certificate and a key, or a loopback address in "+name+".listen", string(listen))
	}
}

func (c *validator) checkAdvertise(name string, listen, advertise laceunit.Address) {
	host, port, err := net.SplitHostPort(string(listen))
	if err != nil || (port == "0" && isAdvertiseAddress(net.JoinHostPort(host, "1"))) {
		return // with port 0 the address is known only after the listener has been opened
	}
	if advertise == "" && isListenAddress(string(listen)) {
		c.addFault(name+".public", "an address, because "+name+".listen is not one that others can reach", "")
	}
}

func (c *validator) checkTLSFiles(path string, t TLS) {
	if t.Certificate == "" && t.Key != "" {
		c.addFault(path+".certificate", "a file, because a key is given", "")
	}
	if t.Key == "" && t.Certificate != "" {
		c.addFault(path+".key", "a file, because a certificate is given", "")
	}
	c.checkFile(path+".certificate", t.Certificate)
	c.checkFile(path+".key", t.Key)
	c.checkFile(path+".authority", t.Authority)
}

func (c *validator) checkFile(path, name string) {
	if name == "" {
		return
	}
	f, err := os.Open(name)
	if err != nil {
		c.addFault(path, "a readable file", name)
		return
	}
	_ = f.Close()
}

func (c *validator) checkDistinctListeners(s Settings) {
	seen := map[laceunit.Address]string{}
	for _, l := range []struct {
		path    string
		address laceunit.Address
	}{
		{path: "caller.listen", address: s.Caller.Listen},
		{path: "peer.listen", address: s.Peer.Listen},
		{path: "admin.listen", address: s.Admin.Listen},
	} {
		if _, port, err := net.SplitHostPort(string(l.address)); err != nil || port == "0" {
			continue
		}
		if earlier, ok := seen[l.address]; ok {
			c.addFault(l.path, "an address other than "+earlier, string(l.address))
		}
		seen[l.address] = l.path
	}
}
