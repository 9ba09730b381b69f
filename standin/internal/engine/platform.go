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

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		invalid("the body is not valid: %v", err).Write(w)
	}
	return err == nil
}

func (e *Engine) hold(w http.ResponseWriter, r *http.Request) {
	var h endpoint.Holding
	if !decode(w, r, &h) {
		return
	}
	if h.ID == "" || h.Tokens < 1 || h.TTL < 1 {
		invalid("a holding needs id, tokens and ttl-ms").Write(w)
		return
	}
	if err := e.model.Hold(h); err != nil {
		refuse(w, err, refusal.DidNotRun)
		return
	}
	writeJSON(w, http.StatusCreated, h)
}

func (e *Engine) listHoldings(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.model.Holdings())
}

func (e *Engine) release(w http.ResponseWriter, r *http.Request) {
	respond(w, e.model.Release(mux.Vars(r)["id"]))
}

// renew starts the TTL of a holding anew, with the ttl-ms of the body if there is one. The head of a group
// adds occupy-ms, the simulated time for which the group's prefill occupies this engine.
func (e *Engine) renew(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	var h endpoint.Holding
	if r.ContentLength != 0 && !decode(w, r, &h) {
		return
	}
	err := e.model.Renew(id, h.TTL)
	if ms, parseErr := strconv.Atoi(r.URL.Query().Get("occupy-ms")); err == nil && parseErr == nil {
		err = e.model.SetGroupPrefill(id, time.Duration(ms)*time.Millisecond)
	}
	respond(w, err)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	respond(w, e.model.Cancel(mux.Vars(r)["attempt"]))
}

func respond(w http.ResponseWriter, err error) {
	if err != nil {
		refuse(w, err, refusal.DidNotRun)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// exportKV describes the KV cache of an attempt after the time that its transfer takes.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	export, err := e.model.Export(mux.Vars(r)["attempt"])
	if err != nil {
		refuse(w, err, refusal.DidNotRun)
		return
	}
	e.transfer(r, export)
	writeJSON(w, http.StatusOK, export)
}

// importKV stores an exported KV cache in the prefix cache after the time that its transfer takes.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var export model.Export
	if !decode(w, r, &export) {
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
