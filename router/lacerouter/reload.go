package lacerouter

import (
	"crypto/tls"
	"strconv"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacesetting"
	"lacewingcove/lib/lacetls"
)

// reloader reads files again that the running process uses.
type reloader struct {
	name   string
	reload func() error
}

// Reload reads certificates and operators again. Files that can't be used leave the former ones in force.
func (i *Instance) Reload() {
	for _, r := range i.reloaders {
		if err := r.reload(); err != nil {
			i.logger.Error(err, "not reloaded", "what", r.name)
			continue
		}
		i.logger.Info("reloaded", "what", r.name)
	}
}

// certificates returns the source of a set of TLS files, or nothing when none are named. Listeners that name the same
// files share one source.
func (i *Instance) certificates(files lacesetting.TLS) (*lacetls.Source, error) {
	if files.IsZero() {
		return nil, nil //nolint:nilnil // no files means plain text, which is not an error
	}
	if s, ok := i.sources[files]; ok {
		return s, nil
	}
	source, err := lacetls.New(lacetls.Files{
		Certificate: files.Certificate,
		Key:         files.Key,
		Authority:   files.Authority,
	}, lacetls.WithReloadHook(func(err error) {
		if err != nil {
			i.logger.Error(err, "certificates not reloaded")
			return
		}
		i.logger.Info("certificates reloaded")
	}))
	if err != nil {
		return nil, err
	}
	i.sources[files] = source
	i.reloaders = append(i.reloaders, reloader{
		name:   "certificates " + files.Certificate,
		reload: source.Reload,
	})
	return source, i.kernel.Register(nameCertificates+lacekernel.Name(strconv.Itoa(len(i.sources))), source)
}

// serverTLS returns the TLS configuration of a listener, or nothing for plain text.
func (i *Instance) serverTLS(files lacesetting.TLS) (*tls.Config, error) {
	source, err := i.certificates(files)
	if err != nil || source == nil {
		return nil, err
	}
	return source.ServerConfig(), nil
}
