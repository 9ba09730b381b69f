package engine

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/model"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

// headerCacheSeed is the seed of the prefix blocks. Only with the seed that the entries use do cache
// events name the blocks that they know.
const headerCacheSeed = "X-Cache-Seed"

// hop is what the headers of a request say.
type hop struct {
	requestID  string
	attemptID  string
	priority   int64
	deadline   time.Time
	holding    string
	group      []member
	resumeFrom int
}

// member is another engine of a group.
type member struct {
	address string
	holding string
}

func readHop(h http.Header) (hop, *refusal.Error) {
	p := hop{
		requestID: h.Get(endpoint.HeaderRequestID),
		attemptID: h.Get(endpoint.HeaderAttemptID),
		holding:   h.Get(endpoint.HeaderHolding),
	}
	if p.requestID == "" {
		p.requestID = rand.Text()
	}
	if p.attemptID == "" {
		p.attemptID = rand.Text()
	}
	var err error
	if v := h.Get(endpoint.HeaderPriority); v != "" {
		if p.priority, err = strconv.ParseInt(v, 10, 64); err != nil {
			return p, invalid("%s is %q; it must be an integer", endpoint.HeaderPriority, v)
		}
	}
	if v := h.Get(endpoint.HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return p, invalid("%s is %q; it must be Unix milliseconds", endpoint.HeaderDeadline, v)
		}
		p.deadline = time.UnixMilli(ms)
	}
	if v := h.Get(endpoint.HeaderResumeFrom); v != "" {
		if p.resumeFrom, err = strconv.Atoi(v); err != nil || p.resumeFrom < 0 {
			return p, invalid("%s is %q; it must be a number of events", endpoint.HeaderResumeFrom, v)
		}
	}
	if v := h.Get(endpoint.HeaderGroup); v != "" {
		for part := range strings.SplitSeq(v, ",") {
			address, holding, found := strings.Cut(strings.TrimSpace(part), "/")
			if !found {
				return p, invalid("%s has %q; it must be address/holding", endpoint.HeaderGroup, part)
			}
			p.group = append(p.group, member{address: address, holding: holding})
		}
	}
	return p, nil
}

// complete serves both completion paths.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.handling.Add(1)
	defer e.handling.Add(-1)
	h, refused := readHop(r.Header)
	if refused != nil {
		refused.Write(w)
		return
	}
	w.Header().Set(endpoint.HeaderRequestID, h.requestID)
	w.Header().Set(endpoint.HeaderAttemptID, h.attemptID)
	if _, found := e.faults.BeforeRead(); found {
		faults.CloseConnection()
	}
	body, err := read(w, r)
	if err != nil {
		invalid("the body cannot be read: %v", err).Write(w)
		return
	}
	fault, _ := e.faults.ForBody(body)
	chat := strings.HasPrefix(r.URL.Path, "/v1/chat/")
	p, refused := parse(body, chat, r.Header.Get(headerCacheSeed), e.config.Options.CrashMarker)
	body = nil
	if refused == nil {
		refused = e.check(p, h)
	}
	if refused != nil {
		refused.Write(w)
		return
	}
	switch fault.Kind {
	case faults.Silent:
		faults.WaitForDisconnect(r)
		return
	case faults.CloseAfterRead:
		faults.CloseConnection()
	}
	e.run(w, r, h, p, fault)
}

// check refuses what the engine cannot run now.
func (e *Engine) check(p prompt, h hop) *refusal.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := func(status int, code, format string, args ...any) *refusal.Error {
		r := refusal.New(status, code, refusal.DidNotRun, format, args...)
		return &r
	}
	if e.state.Loading {
		return refused(http.StatusServiceUnavailable, "loading", "the engine is loading weights")
	}
	if !slices.Contains(e.state.Models, p.model) && !slices.Contains(e.state.Adapters, p.model) {
		return refused(http.StatusNotFound, "unknown-model", "model %q is not loaded", p.model)
	}
	if !h.deadline.IsZero() && !time.Now().Before(h.deadline) {
		return refused(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline has passed")
	}
	return nil
}

// run submits a request and writes its response.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, h hop, p prompt, fault options.Fault) {
	ctx, cancel := context.WithCancel(r.Context())
	if !h.deadline.IsZero() {
		ctx, cancel = context.WithDeadline(r.Context(), h.deadline)
	}
	defer cancel()
	perEvent := e.config.Options.TokensPerEvent
	attempt, err := e.model.Submit(ctx, model.Request{
		ID:                h.attemptID,
		RequestID:         h.requestID,
		Model:             p.model,
		Priority:          h.priority,
		PromptTokens:      p.tokens,
		MaxTokens:         p.maxTokens,
		Generated:         min(firstToken(h.resumeFrom, perEvent), p.maxTokens),
		Blocks:            p.blocks,
		Holding:           h.holding,
		GroupSize:         1 + len(h.group),
		CrashAfterPrefill: p.crash,
	})
	if err != nil {
		refuseSubmit(w, err)
		return
	}
	if len(h.group) > 0 {
		seconds := float64(p.tokens) / e.config.Options.PrefillRate / float64(1+len(h.group))
		lead(ctx, caller{e.config.Client, e.config.TLS}, attempt, h.group, time.Duration(seconds*float64(time.Second)))
	}
	e.config.Logger.Debug("request submitted", zap.String(logging.RequestID, h.requestID),
		zap.String(logging.AttemptID, h.attemptID), zap.Int("tokens", p.tokens))
	s := newWriter(p, perEvent, h.requestID, h.attemptID)
	if p.stream {
		newStream(w, r, s, attempt, fault).send(min(h.resumeFrom, s.textEvents()))
		return
	}
	answer(w, r, s, attempt, fault)
}

// answer waits for the end of an attempt and writes the whole response.
func answer(w http.ResponseWriter, r *http.Request, s writer, attempt *model.Attempt, fault options.Fault) {
	<-attempt.Ended()
	progress := attempt.Progress()
	if progress.Err != nil {
		refuse(w, progress.Err, refusal.FailedWhileRunning)
		return
	}
	payload := s.appendAnswer(nil, progress.CachedTokens)
	switch fault.Kind {
	case faults.Malformed:
		payload = []byte(garbage)
	case faults.Delay:
		faults.Pause(r, fault.Delay)
	case faults.Misroute:
		s = s.of(attempt)
		payload = s.appendAnswer(nil, progress.CachedTokens)
	case faults.Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(payload)))
		payload = payload[:len(payload)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(payload)
	if fault.Kind == faults.Truncate {
		faults.CloseConnection()
	}
}
