package operator_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"savorystep"
	"savorystep/operator"
)

// A testCA issues certificates into a directory.
type testCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	ca := &testCA{dir: t.TempDir()}
	ca.issue(t, "ca")
	return ca
}

// issue writes NAME.pem and NAME-key.pem; the first certificate is the
// authority's own.
func (ca *testCA) issue(t *testing.T, name string) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca.next++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(ca.next), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca.cert == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	parent, signer := ca.cert, ca.key
	if parent == nil {
		parent, signer = template, private
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &private.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	if ca.cert == nil {
		ca.key = private
		if ca.cert, err = x509.ParseCertificate(der); err != nil {
			t.Fatal(err)
		}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return ca.write(t, name+".pem", "CERTIFICATE", der), ca.write(t, name+"-key.pem", "PRIVATE KEY", keyDER)
}

func (ca *testCA) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(ca.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestAccess guards against a server that answers clients without a token or a
// certificate of its authority.
func TestAccess(t *testing.T) {
	ca, foreign := newTestCA(t), newTestCA(t)
	serverCert, serverKey := ca.issue(t, "server")
	clientCert, clientKey := ca.issue(t, "client")
	foreignCert, foreignKey := foreign.issue(t, "client")
	authority := filepath.Join(ca.dir, "ca.pem")
	const token = "token-of-the-tests"
	const refused = savorystep.KindNotReady // The handshake fails.
	for _, test := range []struct {
		name      string
		access    operator.OperatorSettings
		cert, key string
		token     string
		want      savorystep.Kind
	}{
		{name: "certificate and token, with certificate", access: operator.OperatorSettings{Token: token, CAFile: authority}, cert: clientCert, key: clientKey},
		{name: "certificate and token, with foreign certificate", access: operator.OperatorSettings{Token: token, CAFile: authority}, cert: foreignCert, key: foreignKey, want: refused},
		{name: "certificate and token, with neither", access: operator.OperatorSettings{Token: token, CAFile: authority}, want: savorystep.KindUnauthorized},
		{name: "certificate and token, with token", access: operator.OperatorSettings{Token: token, CAFile: authority}, token: token},
		{name: "certificate only, with certificate", access: operator.OperatorSettings{CAFile: authority}, cert: clientCert, key: clientKey},
		{name: "certificate only, with foreign certificate", access: operator.OperatorSettings{CAFile: authority}, cert: foreignCert, key: foreignKey, want: refused},
		{name: "certificate only, with none", access: operator.OperatorSettings{CAFile: authority}, token: token, want: refused},
		{name: "neither, with empty token", access: operator.OperatorSettings{}, want: savorystep.KindUnauthorized},
		{name: "neither, with token", access: operator.OperatorSettings{}, token: token, want: savorystep.KindUnauthorized},
		{name: "token only, with certificate", access: operator.OperatorSettings{Token: token}, cert: clientCert, key: clientKey, want: savorystep.KindUnauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.access.CertFile, test.access.KeyFile = serverCert, serverKey
			serverTLS, err := operator.ServerTLSConfig(test.access)
			if err != nil {
				t.Fatal(err)
			}
			server := httptest.NewUnstartedServer(operator.NewServer(operator.ServerConfig{
				Config: emptyConfig{}, Token: test.access.Token, VerifyClientCerts: test.access.CAFile != "",
			}))
			server.TLS = serverTLS
			server.StartTLS()
			defer server.Close()
			clientTLS, err := operator.ClientTLSConfig(test.cert, test.key, authority)
			if err != nil {
				t.Fatal(err)
			}
			client := operator.NewClient(operator.ClientConfig{Servers: []string{server.Listener.Addr().String()}, Token: test.token, TLS: clientTLS})
			if _, err := client.Records(t.Context()); savorystep.KindOf(err) != test.want {
				t.Errorf("error %v, want kind %s", err, test.want)
			}
		})
	}
}

// emptyConfig has no records.
type emptyConfig struct {
	savorystep.Config
}

func (emptyConfig) View() *savorystep.View { return &savorystep.View{} }

// TestTLSFiles guards against a missing or wrong file that is taken for no
// file, which would turn TLS off.
func TestTLSFiles(t *testing.T) {
	ca := newTestCA(t)
	cert, key := ca.issue(t, "server")
	none := filepath.Join(ca.dir, "none.pem")
	for _, test := range []struct {
		name   string
		access operator.OperatorSettings
	}{
		{name: "authority is a key", access: operator.OperatorSettings{CertFile: cert, KeyFile: key, CAFile: key}},
		{name: "no authority", access: operator.OperatorSettings{CertFile: cert, KeyFile: key, CAFile: none}},
		{name: "no certificate", access: operator.OperatorSettings{CertFile: none, KeyFile: key}},
		{name: "no key", access: operator.OperatorSettings{CertFile: cert, KeyFile: none}},
		{name: "swapped", access: operator.OperatorSettings{CertFile: key, KeyFile: cert}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if config, err := operator.ServerTLSConfig(test.access); savorystep.KindOf(err) != savorystep.KindBadRequest {
				t.Errorf("config %v, error %v", config, err)
			}
			if config, err := operator.ClientTLSConfig(test.access.CertFile, test.access.KeyFile, test.access.CAFile); savorystep.KindOf(err) != savorystep.KindBadRequest {
				t.Errorf("config %v, error %v", config, err)
			}
		})
	}
	if config, err := operator.ServerTLSConfig(operator.OperatorSettings{Token: "t"}); config != nil || err != nil {
		t.Errorf("without certificate: %v, %v", config, err)
	}
	config, err := operator.ClientTLSConfig("", "", "")
	if err != nil || config == nil {
		t.Errorf("without files: %v, %v", config, err)
	}
}
