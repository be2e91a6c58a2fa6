package session

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/pflag"
)

// httpMain is the main function of the program "http [FLAG...] METHOD URL", which
// prints the status, the selected headers and the body of the response.
func httpMain(args []string, stdout, stderr io.Writer) int {
	flags := pflag.NewFlagSet("http", pflag.ContinueOnError)
	headers := flags.StringArrayP("header", "H", nil, `request header "Name: value"`)
	body := flags.StringP("body", "d", "", "request body")
	size := flags.Int("size", 0, "length of a body of spaces")
	shownHeaders := flags.StringSliceP("show", "s", nil, "response headers to print")
	authority := flags.String("authority", "", "PEM file with the authority of the server's certificate")
	if err := flags.Parse(args); err != nil || flags.NArg() != 2 {
		fmt.Fprintln(stderr, "http: usage: http [FLAG...] METHOD URL:", err)
		return 2
	}
	if *size > 0 {
		*body = strings.Repeat(" ", *size)
	}
	client, err := newClient(*authority)
	if err != nil {
		fmt.Fprintln(stderr, "http:", err)
		return 2
	}
	r, err := http.NewRequest(flags.Arg(0), flags.Arg(1), strings.NewReader(*body))
	if err != nil {
		fmt.Fprintln(stderr, "http:", err)
		return 2
	}
	for _, h := range *headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	response, err := client.Do(r)
	if err != nil {
		fmt.Fprintln(stderr, "http:", err)
		return 1
	}
	defer response.Body.Close()
	fmt.Fprintln(stdout, response.Status)
	for _, h := range *shownHeaders {
		fmt.Fprintf(stdout, "%s: %s\n", h, response.Header.Get(h))
	}
	fmt.Fprintln(stdout)
	data, err := io.ReadAll(response.Body)
	_, _ = stdout.Write(append(bytes.TrimRight(data, "\n"), '\n'))
	if err != nil {
		fmt.Fprintln(stderr, "http: read body:", err)
		return 1
	}
	return 0
}

// newClient returns a client without a certificate of its own. If authority is
// not empty, it names the PEM file of the only authority that the client trusts.
func newClient(authority string) (*http.Client, error) {
	if authority == "" {
		return &http.Client{Timeout: time.Minute}, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	return &http.Client{Timeout: time.Minute, Transport: transport}, nil
}
