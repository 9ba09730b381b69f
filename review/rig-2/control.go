package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout is the time without a response after which a caller of control moves on to another node.
const callTimeout = time.Second

// callControl makes one call on a new channel and returns the status, or 0 without a response.
func callControl(m *machine, method, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(m.system.ports.control)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// order sends an order to the nodes in turn, with increasing back-off, until one acknowledges it.
func order(r *record, nodes []*machine, method, path, body string) error {
	pause := 50 * time.Millisecond
	for attempt := range 40 {
		node := nodes[attempt%len(nodes)]
		status := callControl(node, method, path, body)
		r.printf("%s %s at %s: %s", method, path, node.name, describe(status))
		switch {
		case status >= 200 && status < 300:
			return nil
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return fmt.Errorf("%s %s was refused with %d", method, path, status)
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

func describe(status int) string {
	if status == 0 {
		return "no response"
	}
	return fmt.Sprint(status)
}

const configPath = "/dandelionpier/config"

// route is a route of a manifest, all on one host.
type route struct {
	name, service, kind string
	attempts            int
}

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// manifest returns a manifest with the given routes to plain services.
func manifest(version int, maxHeaderBytes int, services []string, routes []route) string {
	var routeList, serviceList []string
	for _, r := range routes {
		routeList = append(routeList, fmt.Sprintf(`{"name":"r-%s","host":%q,"pathPrefix":"/%s/","kind":%q,"timeoutMs":5000,"sloMs":300,"priority":1,"backend":%q,"attempts":%d,"public":false,"canResume":%t,"gapTargetMs":500}`,
			r.name, host, r.name, r.kind, r.service, r.attempts, r.kind == "streaming"))
	}
	for _, name := range services {
		serviceList = append(serviceList, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConns":131,"protocol":"h1","tls":false}`, name))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":%d,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":[%q],"priority":1}]}`,
		version, strings.Join(routeList, ","), strings.Join(serviceList, ","), maxHeaderBytes, key)
}
