package lacerouter

import (
	"crypto/tls"
	"strconv"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacesetting"
	"lacewingcove/lib/lacetls"
)

// reloader reloads files of the running process.
type reloader struct {
	name   string
	reload func() error
}

// Reload reloads the certificates and the operators and reopens the trace file. If a reload fails, the previous state
// stays in use.
func (i *Instance) Reload() {
	for _, r := range i.reloaders {
		if err := r.reload(); err != nil {
			i.logger.Error(err, "not reloaded", "what", r.name)
			continue
		}
		i.logger.Info("reloaded", "what", r.name)
	}
}

// certificateSource returns the source of a set of TLS files, or nil if none are configured. Listeners with the same
// files share one source.
func (i *Instance) certificateSource(files lacesetting.TLS) (*lacetls.Source, error) {
	if files.IsZero() {
		return nil, nil //nolint:nilnil // no files means plaintext, which is not an error
	}
	if s, ok := i.certificateSources[files]; ok {
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
	i.certificateSources[files] = source
	i.reloaders = append(i.reloaders, reloader{
		name:   "certificates " + files.Certificate,
		reload: source.Reload,
	})
	return source, i.kernel.Register(nameCertificates+lacekernel.Name(strconv.Itoa(len(i.certificateSources))), source)
}

// serverTLS returns the TLS configuration of a listener, or nil for plaintext.
func (i *Instance) serverTLS(files lacesetting.TLS) (*tls.Config, error) {
	source, err := i.certificateSource(files)
	if err != nil || source == nil {
		return nil, err
	}
	return source.ServerConfig(), nil
}
