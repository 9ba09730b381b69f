// Package claim implements idempotency keys for requests that may run at most once. A request claims its
// key before it is dispatched; the claim then keeps the outcome for resent requests with the same key.
package claim

// Status is the state of a claim as an entry sees it.
type Status string

const (
	// Granted means that the caller of Open holds the claim and may dispatch once.
	Granted Status = "granted"
	// InProgress means that another request holds the claim.
	InProgress Status = "in-progress"
	// Done means that the request ran; its stored outcome is in the reply.
	Done Status = "done"
	// Unknown means that the request may have run but its outcome is not known.
	Unknown Status = "unknown"
	// Mismatch means that the key was used before for another request.
	Mismatch Status = "mismatch"
	// Full means that the limit of claims is reached; the request did not run.
	Full Status = "full"
)

// Key identifies a claim.
type Key struct {
	Workspace string `cbor:"1,keyasint"`
	// IdempotencyKey is chosen by the caller.
	IdempotencyKey string `cbor:"2,keyasint"`
}

// Outcome is the stored response of a request that ran. Body is at most MaxOutcomeBytes.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Truncated means that the body was too large to keep or was dropped later to free memory.
	Truncated bool `cbor:"4,keyasint"`
}

// MaxOutcomeBytes limits the body of a stored outcome.
const MaxOutcomeBytes = 64 << 10

// OpenRequest asks for the claim of a key.
type OpenRequest struct {
	Key Key `cbor:"1,keyasint"`
	// Fingerprint is the hash of method, path and body.
	Fingerprint uint64 `cbor:"2,keyasint"`
	// RequestID and Entry (instance/incarnation) identify the holder.
	RequestID string `cbor:"3,keyasint"`
	Entry     string `cbor:"4,keyasint"`
}

// OpenReply is the reply to an OpenRequest.
type OpenReply struct {
	// NotLeader means that nothing was done; Leader is the peer address to try, if known.
	NotLeader bool
	Leader    string
	Status    Status
	Outcome   Outcome
	// Holder is the entry that holds an open claim, as instance/incarnation.
	Holder string
}

// SettleRequest completes a claim: with an outcome, as Unknown when it has neither an outcome nor Release,
// or by releasing the key.
type SettleRequest struct {
	Key       Key      `cbor:"1,keyasint"`
	RequestID string   `cbor:"2,keyasint"`
	Outcome   *Outcome `cbor:"3,keyasint,omitempty"`
	// Release removes the claim because no byte of the request was sent to an endpoint.
	Release bool `cbor:"4,keyasint"`
}

// SettleReply is the reply to a SettleRequest.
type SettleReply struct {
	NotLeader bool
	Leader    string
	// Accepted is false when the request does not hold the claim.
	Accepted bool
}
