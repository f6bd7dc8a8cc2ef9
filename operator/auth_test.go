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

// A testCA is a certificate authority that writes its certificates to a directory.
type testCA struct {
	dir        string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	ca := &testCA{dir: t.TempDir()}
	ca.issue(t, "ca")
	return ca
}

// issue writes NAME.pem and NAME-key.pem and returns their paths. The first call
// issues the self-signed certificate of the authority, later ones are signed by it.
func (ca *testCA) issue(t *testing.T, name string) (cert, key string) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(ca.lastSerial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca.cert == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	parent, signer := ca.cert, ca.key
	if parent == nil {
		parent, signer = template, privateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &privateKey.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	if ca.cert == nil {
		ca.key = privateKey
		if ca.cert, err = x509.ParseCertificate(der); err != nil {
			t.Fatal(err)
		}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	return ca.writePEM(t, name+".pem", "CERTIFICATE", der), ca.writePEM(t, name+"-key.pem", "PRIVATE KEY", keyDER)
}

func (ca *testCA) writePEM(t *testing.T, name, blockType string, der []byte) string {
	t.Helper()
	path := filepath.Join(ca.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestAuthentication guards against a server that answers clients which have
// neither its token nor a certificate of its authority, and against one that
// rejects clients which have what its settings ask for.
func TestAuthentication(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	serverCert, serverKey := ca.issue(t, "server")
	clientCert, clientKey := ca.issue(t, "client")
	foreignCert, foreignKey := otherCA.issue(t, "client")
	authority := filepath.Join(ca.dir, "ca.pem")
	const token = "token-of-the-tests"
	// The TLS handshake fails, so the client cannot reach the server.
	const handshakeFails = savorystep.KindNotReady
	for _, test := range []struct {
		name      string
		settings  operator.AuthSettings
		cert, key string
		token     string
		want      savorystep.Kind
	}{
		{name: "certificate and token, with certificate", settings: operator.AuthSettings{Token: token, CAFile: authority}, cert: clientCert, key: clientKey},
		{name: "certificate and token, with foreign certificate", settings: operator.AuthSettings{Token: token, CAFile: authority}, cert: foreignCert, key: foreignKey, want: handshakeFails},
		{name: "certificate and token, with neither", settings: operator.AuthSettings{Token: token, CAFile: authority}, want: savorystep.KindUnauthorized},
		{name: "certificate and token, with token", settings: operator.AuthSettings{Token: token, CAFile: authority}, token: token},
		{name: "certificate only, with certificate", settings: operator.AuthSettings{CAFile: authority}, cert: clientCert, key: clientKey},
		{name: "certificate only, with foreign certificate", settings: operator.AuthSettings{CAFile: authority}, cert: foreignCert, key: foreignKey, want: handshakeFails},
		{name: "certificate only, with none", settings: operator.AuthSettings{CAFile: authority}, token: token, want: handshakeFails},
		{name: "neither, with empty token", settings: operator.AuthSettings{}, want: savorystep.KindUnauthorized},
		{name: "neither, with token", settings: operator.AuthSettings{}, token: token, want: savorystep.KindUnauthorized},
		{name: "token only, with certificate", settings: operator.AuthSettings{Token: token}, cert: clientCert, key: clientKey, want: savorystep.KindUnauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.settings.CertFile, test.settings.KeyFile = serverCert, serverKey
			serverTLS, err := operator.ServerTLSConfig(test.settings)
			if err != nil {
				t.Fatal(err)
			}
			server := httptest.NewUnstartedServer(operator.NewServer(operator.ServerConfig{
				Config: emptyConfig{}, Token: test.settings.Token, VerifyClientCerts: test.settings.CAFile != "",
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

// An emptyConfig is a configuration without records.
type emptyConfig struct {
	savorystep.Config
}

func (emptyConfig) View() *savorystep.View { return &savorystep.View{} }

// TestTLSFiles guards against a missing or wrong file that is handled as if no
// file were set, which would turn TLS off.
func TestTLSFiles(t *testing.T) {
	ca := newTestCA(t)
	cert, key := ca.issue(t, "server")
	missing := filepath.Join(ca.dir, "none.pem")
	for _, test := range []struct {
		name     string
		settings operator.AuthSettings
	}{
		{name: "authority is a key", settings: operator.AuthSettings{CertFile: cert, KeyFile: key, CAFile: key}},
		{name: "no authority", settings: operator.AuthSettings{CertFile: cert, KeyFile: key, CAFile: missing}},
		{name: "no certificate", settings: operator.AuthSettings{CertFile: missing, KeyFile: key}},
		{name: "no key", settings: operator.AuthSettings{CertFile: cert, KeyFile: missing}},
		{name: "swapped", settings: operator.AuthSettings{CertFile: key, KeyFile: cert}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if config, err := operator.ServerTLSConfig(test.settings); savorystep.KindOf(err) != savorystep.KindBadRequest {
				t.Errorf("config %v, error %v, want kind %s", config, err, savorystep.KindBadRequest)
			}
			if config, err := operator.ClientTLSConfig(test.settings.CertFile, test.settings.KeyFile, test.settings.CAFile); savorystep.KindOf(err) != savorystep.KindBadRequest {
				t.Errorf("config %v, error %v, want kind %s", config, err, savorystep.KindBadRequest)
			}
		})
	}
	if config, err := operator.ServerTLSConfig(operator.AuthSettings{Token: "t"}); config != nil || err != nil {
		t.Errorf("server without certificate: config %v, error %v, want neither", config, err)
	}
	config, err := operator.ClientTLSConfig("", "", "")
	if err != nil || config == nil {
		t.Errorf("client without files: config %v, error %v, want a config", config, err)
	}
}
