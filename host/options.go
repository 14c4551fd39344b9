package host

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"log/slog"
	"os"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/objectapi"
	"github.com/bronzeloft/bronzeloft/settings"
)

// FromSettings returns the options of a host daemon. It creates the platform
// client and loads the TLS certificates from the files that the settings name.
func FromSettings(set *settings.Host, logger *slog.Logger) (Options, error) {
	opt := Options{Settings: set, Logger: logger}
	if set.Platform.URL != "" {
		opt.Platform = objectapi.NewClient(objectapi.ClientConfig{
			BaseURL:        set.Platform.URL,
			Timeout:        set.Platform.Timeout,
			CallsPerSecond: set.Platform.CallsPerSecond,
		})
	}
	var err error
	if opt.CallerTLS, err = callerTLS(set.Callers); err != nil {
		return Options{}, err
	}
	opt.PeerTLS, err = peerTLS(set.Peers)
	return opt, err
}

// callerTLS returns the TLS configuration for callers, nil for plain TCP if the
// settings name no certificate.
func callerTLS(c settings.Callers) (*tls.Config, error) {
	if c.TLSCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.TLSCert, c.TLSKey)
	if err != nil {
		return nil, eris.Wrap(err, "load the TLS certificate for caller connections")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the configuration for mutual TLS between hosts: both ends
// verify each other's certificate against the fleet's certificate authority. It is
// nil for plain TCP if the settings name no certificate.
func peerTLS(p settings.Peers) (*tls.Config, error) {
	if p.TLSCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(p.TLSCert, p.TLSKey)
	if err != nil {
		return nil, eris.Wrap(err, "load the TLS certificate for peer connections")
	}
	pem, err := os.ReadFile(p.TLSCA)
	if err != nil {
		return nil, eris.Wrap(err, "read the certificate authority for peer connections")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s contains no PEM certificate", p.TLSCA)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// NewLogger returns a logger with the level and format from the settings. An
// unknown level means info.
func NewLogger(l settings.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		level = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
