package cli

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dandelionpier/dandelionpier/internal/certificate"
	"github.com/dandelionpier/dandelionpier/internal/certificate/certificatetest"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	hopTokens = 30
	// hopInterval is the inter-token latency of a stream at the scale target (design section 4).
	hopInterval = 33 * time.Millisecond
)

// startPacedEngine starts an engine that sends hopTokens events, each with the time at which it was written.
func startPacedEngine(b *testing.B, config *tls.Config) string {
	return startServer(b, config, func(w http.ResponseWriter, r *http.Request) {
		request, attempt := r.Header.Get(endpoint.HeaderRequestID), r.Header.Get(endpoint.HeaderAttemptID)
		w.Header().Set(endpoint.HeaderRequestID, request)
		w.Header().Set(endpoint.HeaderAttemptID, attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.Copy(io.Discard, r.Body)
		control := http.NewResponseController(w)
		ticker := time.NewTicker(hopInterval)
		defer ticker.Stop()
		var event []byte
		for i := range hopTokens {
			usage := ""
			if i == hopTokens-1 {
				usage = `,"usage":{"prompt_tokens":1000,"completion_tokens":30,"cached_tokens":0}`
			}
			event = fmt.Appendf(event[:0], `data: {"request_id":%q,"attempt_id":%q,"index":%d%s,"choices":[{"delta":{"content":"token"}}],"written":%d}`+"\n\n",
				request, attempt, i, usage, time.Now().UnixNano())
			if i == hopTokens-1 {
				event = append(event, "data: [DONE]\n\n"...)
			}
			_, _ = w.Write(event)
			_ = control.Flush()
			<-ticker.C
		}
	})
}

// latencyProbe measures the latencies of streams from one URL.
type latencyProbe struct {
	client *http.Client
	url    string
	body   string
	mu     sync.Mutex
	// firstEvent holds the times from sending a request to its first event, laterEvents the times from writing
	// a later event at the engine to reading it at the caller; both in microseconds.
	firstEvent, laterEvents *hdrhistogram.Histogram
}

func (h *latencyProbe) stream() error {
	request, err := http.NewRequest(http.MethodPost, h.url+"/v1/chat/completions", strings.NewReader(h.body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	began := time.Now()
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	for events := 0; ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return err
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) {
			_, err := io.Copy(io.Discard, lines)
			return err
		}
		_, written, ok := bytes.Cut(line, []byte(`"written":`))
		if !ok {
			continue
		}
		now := time.Now()
		sent, err := strconv.ParseInt(string(bytes.TrimRight(written, "}\n")), 10, 64)
		if err != nil {
			return err
		}
		h.mu.Lock()
		if events == 0 {
			_ = h.firstEvent.RecordValue(now.Sub(began).Microseconds())
		} else {
			_ = h.laterEvents.RecordValue(now.Sub(time.Unix(0, sent)).Microseconds())
		}
		h.mu.Unlock()
		events++
	}
}

// runStreams starts the streams at even intervals over the duration of one stream and waits for all of them.
func (h *latencyProbe) runStreams(streams int) error {
	errs := make(chan error, streams)
	ticker := time.NewTicker(hopTokens * hopInterval / time.Duration(streams))
	defer ticker.Stop()
	for range streams {
		go func() { errs <- h.stream() }()
		<-ticker.C
	}
	for range streams {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkHop compares streams directly from an engine, through an entry, and through an entry that connects
// to the engine with mutual TLS. The metrics are in microseconds; the differences are the latency that the hop
// through the entry adds.
func BenchmarkHop(b *testing.B) {
	ca := certificatetest.NewAuthority(b)
	pair := ca.Issue(b, 2, "127.0.0.1")
	files := pair.Write(b, ca.PEM)
	mutual := pair.Server(b)
	mutual.ClientAuth, mutual.ClientCAs = tls.RequireAndVerifyClientCert, ca.Pool()
	for _, streams := range []int{1, 100, 1000} {
		engine := startPacedEngine(b, nil)
		s := startEntry(b, engine)
		secure := newTestEntry(startPacedEngine(b, mutual))
		secure.options.TLS.Endpoints = certificate.ClientFiles{CA: files.CA, Certificate: files.Certificate, Key: files.Key}
		secure.run(b)
		for _, route := range []struct{ name, url string }{
			{"direct", engine}, {"entry", "http://" + s.addresses.Caller}, {"entry-tls", "http://" + secure.addresses.Caller},
		} {
			b.Run(fmt.Sprintf("streams=%d/%s", streams, route.name), func(b *testing.B) {
				h := &latencyProbe{
					client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}},
					url:         route.url,
					body:        strings.Replace(streamRequest, "Which", strings.Repeat("saw ", 1000), 1),
					firstEvent:  hdrhistogram.New(1, 10_000_000, 3),
					laterEvents: hdrhistogram.New(1, 10_000_000, 3),
				}
				if err := h.runStreams(streams); err != nil {
					b.Fatal(err)
				}
				h.firstEvent.Reset()
				h.laterEvents.Reset()
				b.ResetTimer()
				for range b.N {
					if err := h.runStreams(streams); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(h.firstEvent.ValueAtQuantile(50)), "ttft-p50-us")
				b.ReportMetric(float64(h.firstEvent.ValueAtQuantile(99)), "ttft-p99-us")
				b.ReportMetric(float64(h.laterEvents.ValueAtQuantile(50)), "token-p50-us")
				b.ReportMetric(float64(h.laterEvents.ValueAtQuantile(99)), "token-p99-us")
			})
		}
	}
}

// endlessPrompt is an endless prompt that takes no memory at the caller.
type endlessPrompt struct{}

func (endlessPrompt) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = "saw blade "[i%10]
	}
	return len(p), nil
}

// BenchmarkMemory measures the memory for prompts of a million tokens in flight, per byte of prompt. live is
// the growth of the heap after a garbage collection while the engine works on the prompts, allocated the total
// of all allocations for them.
func BenchmarkMemory(b *testing.B) {
	const prompts, size = 20, 4_000_000
	const before, after = `{"model":"oak","max_tokens":10,"stream":true,"prompt":"`, `"}`
	for _, variant := range []struct {
		name   string
		length int64
	}{{"content-length", int64(len(before) + size + len(after))}, {"chunked", -1}} {
		b.Run(variant.name, func(b *testing.B) {
			entered, leave := make(chan struct{}), make(chan struct{})
			s := startEntry(b, startEngine(b, func(_ http.ResponseWriter, _ *http.Request, e eventWriter) {
				entered <- struct{}{}
				<-leave
				e.finish(0, 1)
			}))
			var live, allocated uint64
			for range b.N {
				base := readHeapStats()
				done := make(chan error, prompts)
				for range prompts {
					go func() {
						body := io.MultiReader(strings.NewReader(before), io.LimitReader(endlessPrompt{}, size), strings.NewReader(after))
						done <- s.sendStreamed(body, variant.length)
					}()
				}
				for range prompts {
					<-entered
				}
				held := readHeapStats()
				live += held.HeapAlloc - base.HeapAlloc
				allocated += held.TotalAlloc - base.TotalAlloc
				for range prompts {
					leave <- struct{}{}
				}
				for range prompts {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
			}
			total := float64(b.N * prompts * size)
			b.ReportMetric(float64(live)/total, "live-bytes/prompt-byte")
			b.ReportMetric(float64(allocated)/total, "allocated-bytes/prompt-byte")
		})
	}
}

func readHeapStats() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

func (s *testEntry) sendStreamed(body io.Reader, length int64) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.addresses.Caller+"/v1/completions", body)
	if err != nil {
		return err
	}
	request.ContentLength = length
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && !bytes.HasSuffix(text, []byte("[DONE]\n\n")) {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, text)
	}
	return err
}

// BenchmarkToken measures the cost of one streamed token in engine, entry and caller together.
func BenchmarkToken(b *testing.B) {
	b.ReportAllocs()
	var event []byte
	s := startEntry(b, startEngine(b, func(w http.ResponseWriter, _ *http.Request, e eventWriter) {
		control := http.NewResponseController(w)
		for i := range b.N {
			event = append(event[:0], `data: {"request_id":"`...)
			event = append(append(event, e.request...), `","attempt_id":"`...)
			event = append(append(event, e.attempt...), `","choices":[{"delta":{"content":"token"}}],"index":`...)
			event = append(strconv.AppendInt(event, int64(i), 10), "}\n\n"...)
			_, _ = w.Write(event)
			_ = control.Flush()
		}
		e.finish(b.N, b.N)
	}))
	conn, err := net.Dial("tcp", s.addresses.Caller)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	body := `{"model":"oak","stream":true,"prompt":"a"}`
	b.ResetTimer()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Time-Limit: 900\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		b.Fatal(err)
	}
}
