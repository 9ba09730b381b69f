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

// headerCacheSeed is the header with the seed of the block hashes. Entries recognise the blocks in cache events
// only if the engine hashes with their seed.
const headerCacheSeed = "X-Cache-Seed"

// requestHeaders holds the parsed headers of a request.
type requestHeaders struct {
	requestID  string
	attemptID  string
	priority   int64
	deadline   time.Time
	holding    string
	group      []member
	resumeFrom int
}

// member is another engine of the group, which helps with the prefill.
type member struct {
	address string
	holding string
}

func parseHeaders(h http.Header) (requestHeaders, *refusal.Error) {
	parsed := requestHeaders{
		requestID: h.Get(endpoint.HeaderRequestID),
		attemptID: h.Get(endpoint.HeaderAttemptID),
		holding:   h.Get(endpoint.HeaderHolding),
	}
	if parsed.requestID == "" {
		parsed.requestID = rand.Text()
	}
	if parsed.attemptID == "" {
		parsed.attemptID = rand.Text()
	}
	var err error
	if v := h.Get(endpoint.HeaderPriority); v != "" {
		if parsed.priority, err = strconv.ParseInt(v, 10, 64); err != nil {
			return parsed, invalidRequest("%s is %q; it must be an integer", endpoint.HeaderPriority, v)
		}
	}
	if v := h.Get(endpoint.HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return parsed, invalidRequest("%s is %q; it must be Unix milliseconds", endpoint.HeaderDeadline, v)
		}
		parsed.deadline = time.UnixMilli(ms)
	}
	if v := h.Get(endpoint.HeaderResumeFrom); v != "" {
		if parsed.resumeFrom, err = strconv.Atoi(v); err != nil || parsed.resumeFrom < 0 {
			return parsed, invalidRequest("%s is %q; it must be a number of events", endpoint.HeaderResumeFrom, v)
		}
	}
	if v := h.Get(endpoint.HeaderGroup); v != "" {
		for part := range strings.SplitSeq(v, ",") {
			address, holding, found := strings.Cut(strings.TrimSpace(part), "/")
			if !found {
				return parsed, invalidRequest("%s has %q; it must be address/holding", endpoint.HeaderGroup, part)
			}
			parsed.group = append(parsed.group, member{address: address, holding: holding})
		}
	}
	return parsed, nil
}

// complete handles completions and chat completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	headers, refused := parseHeaders(r.Header)
	if refused != nil {
		refused.Write(w)
		return
	}
	w.Header().Set(endpoint.HeaderRequestID, headers.requestID)
	w.Header().Set(endpoint.HeaderAttemptID, headers.attemptID)
	if _, found := e.faults.BeforeRead(); found {
		faults.CloseConnection()
	}
	body, err := readBody(w, r)
	if err != nil {
		invalidRequest("the body cannot be read: %v", err).Write(w)
		return
	}
	fault, _ := e.faults.ForBody(body)
	chat := strings.HasPrefix(r.URL.Path, "/v1/chat/")
	completion, refused := parseBody(body, chat, r.Header.Get(headerCacheSeed), e.config.Options.CrashMarker)
	body = nil
	if refused == nil {
		refused = e.checkRequest(completion, headers)
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
	e.runAttempt(w, r, headers, completion, fault)
}

// checkRequest returns an error if the engine is loading, does not serve the model, or the deadline has passed.
func (e *Engine) checkRequest(completion completionRequest, headers requestHeaders) *refusal.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	newRefusal := func(status int, code, format string, args ...any) *refusal.Error {
		r := refusal.New(status, code, refusal.DidNotRun, format, args...)
		return &r
	}
	if e.state.Loading {
		return newRefusal(http.StatusServiceUnavailable, "loading", "the engine is loading weights")
	}
	if !slices.Contains(e.state.Models, completion.model) && !slices.Contains(e.state.Adapters, completion.model) {
		return newRefusal(http.StatusNotFound, "unknown-model", "model %q is not loaded", completion.model)
	}
	if !headers.deadline.IsZero() && !time.Now().Before(headers.deadline) {
		return newRefusal(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline has passed")
	}
	return nil
}

// runAttempt submits a request to the model and writes the response.
func (e *Engine) runAttempt(w http.ResponseWriter, r *http.Request, headers requestHeaders, completion completionRequest, fault options.Fault) {
	ctx, cancel := context.WithCancel(r.Context())
	if !headers.deadline.IsZero() {
		ctx, cancel = context.WithDeadline(r.Context(), headers.deadline)
	}
	defer cancel()
	tokensPerEvent := e.config.Options.TokensPerEvent
	attempt, err := e.model.Submit(ctx, model.Request{
		ID:                headers.attemptID,
		RequestID:         headers.requestID,
		Model:             completion.model,
		Priority:          headers.priority,
		PromptTokens:      completion.tokens,
		MaxTokens:         completion.maxTokens,
		Generated:         min(firstToken(headers.resumeFrom, tokensPerEvent), completion.maxTokens),
		Blocks:            completion.blocks,
		Holding:           headers.holding,
		GroupSize:         1 + len(headers.group),
		CrashAfterPrefill: completion.hasCrashMarker,
	})
	if err != nil {
		writeSubmitError(w, err)
		return
	}
	if len(headers.group) > 0 {
		seconds := float64(completion.tokens) / e.config.Options.PrefillRate / float64(1+len(headers.group))
		superviseGroup(ctx, memberClient{e.config.Client, e.config.TLS}, attempt, headers.group, time.Duration(seconds*float64(time.Second)))
	}
	e.config.Logger.Debug("request submitted", zap.String(logging.RequestID, headers.requestID),
		zap.String(logging.AttemptID, headers.attemptID), zap.Int("tokens", completion.tokens))
	enc := newEncoder(completion, tokensPerEvent, headers.requestID, headers.attemptID)
	if completion.stream {
		newStreamWriter(w, r, enc, attempt, fault).send(min(headers.resumeFrom, enc.textEvents()))
		return
	}
	writeResponse(w, r, enc, attempt, fault)
}

// writeResponse waits until the attempt has ended and writes the whole response.
func writeResponse(w http.ResponseWriter, r *http.Request, enc encoder, attempt *model.Attempt, fault options.Fault) {
	<-attempt.Ended()
	progress := attempt.Progress()
	if progress.Err != nil {
		writeError(w, progress.Err, refusal.FailedWhileRunning)
		return
	}
	payload := enc.appendResponse(nil, progress.CachedTokens)
	switch fault.Kind {
	case faults.Malformed:
		payload = []byte(malformedEvent)
	case faults.Delay:
		faults.Pause(r, fault.Delay)
	case faults.Misroute:
		enc = enc.forOtherAttempt(attempt)
		payload = enc.appendResponse(nil, progress.CachedTokens)
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
