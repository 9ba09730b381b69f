package cli

import (
	"encoding/pem"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
)

// Guards against certificates of https addresses that are not verified with the CA file, and against a CA
// file together with an address to which the key would be sent unencrypted.
func TestTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(accepted))
	}))
	server.Config.ErrorLog = log.New(&strings.Builder{}, "", 0)
	server.StartTLS()
	defer server.Close()
	address := server.Listener.Addr().String()
	directory := t.TempDir()
	ca := filepath.Join(directory, "ca.pem")
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	is.New(t).NoErr(os.WriteFile(ca, data, 0o600))
	empty := filepath.Join(directory, "empty.pem")
	is.New(t).NoErr(os.WriteFile(empty, nil, 0o600))

	authority := certificatetest.NewAuthority(t)
	pair := authority.IssueExpired(t, 2, "127.0.0.1")
	expired := httptest.NewUnstartedServer(server.Config.Handler)
	expired.Config.ErrorLog = server.Config.ErrorLog
	expired.TLS = pair.Server(t)
	expired.StartTLS()
	defer expired.Close()

	for name, test := range map[string]struct {
		args []string
		code int
		errs string
	}{
		"verified":      {[]string{"--address", "https://" + address, "--ca-file", ca}, exitDone, ""},
		"expired":       {[]string{"--address", "https://" + expired.Listener.Addr().String(), "--ca-file", pair.Write(t, authority.PEM).CA}, exitUnavailable, "certificate has expired"},
		"unknown CA":    {[]string{"--address", "https://" + address}, exitUnavailable, "certificate"},
		"plain address": {[]string{"--address", address, "--ca-file", ca}, exitUsage, "must start with https://"},
		"plain request": {[]string{"--address", address}, exitUnavailable, ""},
		"empty CA file": {[]string{"--address", "https://" + address, "--ca-file", empty}, exitUsage, "no certificate in PEM"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := run(t, nil, "", append(test.args, "run", "set model oak")...)
			is.Equal(got.code, test.code)
			is.True(strings.Contains(got.errs, test.errs))
		})
	}
}
