package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// The wire format of a manifest.
type manifest struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	SLOMs       int    `json:"sloMs"`
	Priority    int    `json:"priority"`
	Backend     string `json:"backend"`
	Attempts    int    `json:"attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky,omitempty"`
	CanResume   bool   `json:"canResume,omitempty"`
	GapTargetMs int    `json:"gapTargetMs,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	Engine     *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots        int     `json:"slots"`
	KVCapacity   int     `json:"kvCapacity"`
	KVTokenBytes float64 `json:"kvTokenBytes"`
	LinkMbps     float64 `json:"linkMbps"`
	Stride       int     `json:"stride"`
	StepMs       float64 `json:"step_ms"`
	PerSeqMs     float64 `json:"per_seq_ms"`
	ContextPerK  float64 `json:"context_per_k"`
	ReadPerS     float64 `json:"read_per_s"`
	PairsPerM    float64 `json:"pairs_per_m"`
	Chunk        int     `json:"chunk"`
	ReportLagMs  float64 `json:"report_lag_ms"`
	Usual        usual   `json:"usual"`
	HopMs        float64 `json:"hopMs"`
}

type usual struct {
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

const (
	host   = "desk.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	// deskService is a plain service, modelService one of model servers.
	deskService  = "desk"
	modelService = "model"
)

// smallManifest is a manifest with one route of each kind, with figures like those of the sites.
func smallManifest() manifest {
	return manifest{
		Version: 1,
		Routes: []route{
			{Name: "booking", Host: host, PathPrefix: "/booking/", Kind: "non_idempotent", TimeoutMs: 1000, SLOMs: 150, Priority: 2, Backend: deskService, Attempts: 1},
			{Name: "status", Host: host, PathPrefix: "/status/", Kind: "idempotent", TimeoutMs: 1000, SLOMs: 150, Priority: 2, Backend: deskService, Attempts: 2},
			{Name: "ask", Host: host, PathPrefix: "/ask/", Kind: "streaming", TimeoutMs: 10000, SLOMs: 300, Priority: 1, Backend: modelService, Attempts: 2, Sticky: true, CanResume: true, GapTargetMs: 200},
		},
		Services: []service{
			{Name: deskService, HealthPath: "/healthz", MaxConns: 238, Protocol: "h1"},
			{Name: modelService, HealthPath: "/healthz", MaxConns: 594, Protocol: "h1", Engine: &engine{
				Slots: 16, KVCapacity: 450000, KVTokenBytes: 327680, LinkMbps: 400000, Stride: 46, StepMs: 0.925, PerSeqMs: 0.00483,
				ContextPerK: 0.00254, ReadPerS: 256000, PairsPerM: 0.0917, Chunk: 2048, ReportLagMs: 200, Usual: usual{Prompt: 13227, Answer: 1541}, HopMs: 0.1,
			}},
		},
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []tenant{{Name: "shop", APIKeys: []string{apiKey}, Priority: 1}},
	}
}

// declare sends a manifest until it is confirmed.
func (s *system) declare(m manifest) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	var last error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var by string
		if by, last = s.call("PUT", "/dandelionpier/config", body); last == nil {
			s.record.note("manifest %d confirmed by %s", m.Version, by)
			return nil
		}
	}
	return fmt.Errorf("manifest %d was not confirmed: %w", m.Version, last)
}
