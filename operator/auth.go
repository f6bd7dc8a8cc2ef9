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

// authorize rejects requests that have neither the bearer token nor a verified
// client certificate.
func (s *server) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.VerifyClientCerts && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			next.ServeHTTP(w, r)
			return
		}
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		// ConstantTimeCompare returns early if the lengths differ. Hashes have
		// the same length, so its timing does not reveal the length of the token.
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
// the settings name no certificate. With a certificate authority a client
// certificate is verified: it is required if no token is set, otherwise optional.
// A file that cannot be loaded gives an error of kind KindBadRequest.
func ServerTLSConfig(settings AuthSettings) (*tls.Config, error) {
	if settings.CertFile == "" {
		return nil, nil
	}
	config, err := loadTLSConfig(settings.CertFile, settings.KeyFile)
	if err != nil || settings.CAFile == "" {
		return config, err
	}
	config.ClientCAs, err = loadCertPool(settings.CAFile)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if settings.Token != "" {
		config.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return config, err
}

// ClientTLSConfig returns the TLS configuration of a client from the names of PEM
// files. Without cert and key the client presents no certificate; without
// authority it uses the certificate authorities of the system. A file that cannot
// be loaded gives an error of kind KindBadRequest.
func ClientTLSConfig(cert, key, authority string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	var err error
	if cert != "" || key != "" {
		if config, err = loadTLSConfig(cert, key); err != nil {
			return nil, err
		}
	}
	if authority != "" {
		config.RootCAs, err = loadCertPool(authority)
	}
	return config, err
}

func loadTLSConfig(cert, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "load certificate %s with key %s", cert, key)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	pool := x509.NewCertPool()
	if err == nil && !pool.AppendCertsFromPEM(data) {
		err = errors.New("the file contains no certificate in PEM format")
	}
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "load certificate authority file %s", file)
	}
	return pool, nil
}
