package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"os"
	"strings"

	"savorystep"
)

// authorize refuses requests that have neither the token nor a verified client
// certificate.
func (s *server) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.VerifyClientCerts && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			next.ServeHTTP(w, r)
			return
		}
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		// Hashes have one length, so the comparison tells nothing about the
		// length of the token.
		got := sha256.Sum256([]byte(token))
		if s.Token == "" || !found || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.requests.WithLabelValues("", savorystep.KindUnauthorized.String()).Inc()
			s.writeError(w, r, savorystep.NewError(savorystep.KindUnauthorized, "the request has no valid token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServerTLSConfig returns the TLS configuration of the operators' listener, nil if
// the settings name no certificate. With an authority and no token, a client
// needs a certificate to connect.
func ServerTLSConfig(settings OperatorSettings) (*tls.Config, error) {
	if settings.CertFile == "" {
		return nil, nil
	}
	config, err := loadTLS(settings.CertFile, settings.KeyFile)
	if err != nil || settings.CAFile == "" {
		return config, err
	}
	config.ClientCAs, err = loadAuthority(settings.CAFile)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if settings.Token != "" {
		config.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return config, err
}

// ClientTLSConfig returns the TLS configuration of a client; all file names may be
// empty.
func ClientTLSConfig(cert, key, authority string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	var err error
	if cert != "" || key != "" {
		if config, err = loadTLS(cert, key); err != nil {
			return nil, err
		}
	}
	if authority != "" {
		config.RootCAs, err = loadAuthority(authority)
	}
	return config, err
}

func loadTLS(cert, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "load certificate %s", cert)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

func loadAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	pool := x509.NewCertPool()
	if err == nil && !pool.AppendCertsFromPEM(data) {
		err = errors.New("the file holds no certificate")
	}
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "load authority %s", file)
	}
	return pool, nil
}
