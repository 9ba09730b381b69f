package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/model"
)

func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		invalidRequest("the body is not valid: %v", err).Write(w)
	}
	return err == nil
}

func (e *Engine) createHolding(w http.ResponseWriter, r *http.Request) {
	var h endpoint.Holding
	if !decodeBody(w, r, &h) {
		return
	}
	if h.ID == "" || h.Tokens < 1 || h.TTL < 1 {
		invalidRequest("a holding needs id, tokens and ttl-ms").Write(w)
		return
	}
	if err := e.model.Hold(h); err != nil {
		writeError(w, err, refusal.DidNotRun)
		return
	}
	writeJSON(w, http.StatusCreated, h)
}

func (e *Engine) listHoldings(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.model.Holdings())
}

func (e *Engine) releaseHolding(w http.ResponseWriter, r *http.Request) {
	writeResult(w, e.model.Release(mux.Vars(r)["id"]))
}

// renewHolding restarts the TTL of a holding, with the ttl-ms of the body if there is one. The head of a group
// adds occupy-ms, the simulated time that this engine spends on the prefill of the group.
func (e *Engine) renewHolding(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	var h endpoint.Holding
	if r.ContentLength != 0 && !decodeBody(w, r, &h) {
		return
	}
	err := e.model.Renew(id, h.TTL)
	if ms, parseErr := strconv.Atoi(r.URL.Query().Get("occupy-ms")); err == nil && parseErr == nil {
		err = e.model.SetGroupPrefill(id, time.Duration(ms)*time.Millisecond)
	}
	writeResult(w, err)
}

func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	writeResult(w, e.model.Cancel(mux.Vars(r)["attempt"]))
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err, refusal.DidNotRun)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// exportKV returns the description of an attempt's KV cache, delayed by the time that the transfer takes.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	export, err := e.model.Export(mux.Vars(r)["attempt"])
	if err != nil {
		writeError(w, err, refusal.DidNotRun)
		return
	}
	e.transfer(r, export)
	writeJSON(w, http.StatusOK, export)
}

// importKV adds an exported KV cache to the prefix cache, delayed by the time that the transfer takes.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var export model.Export
	if !decodeBody(w, r, &export) {
		return
	}
	e.transfer(r, export)
	writeJSON(w, http.StatusOK, struct {
		Blocks int `json:"blocks"`
	}{e.model.Import(export)})
}

func (e *Engine) transfer(r *http.Request, export model.Export) {
	seconds := float64(export.Tokens) / e.config.Options.TransferRate / e.config.Options.Speed
	faults.Pause(r, time.Duration(seconds*float64(time.Second)))
}
