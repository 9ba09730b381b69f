package operator

import (
	"context"
	"crypto/sha256"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

const (
	// maxSince bounds the revisions that a conflict shows, newest last.
	maxSince = 50
	// maxLines bounds the lines of a revision or a check.
	maxLines = 1000
)

var commandID = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// statusCodes are the HTTP status codes of the results of a transaction.
var statusCodes = map[control.SubmitStatus]int{
	control.Accepted:    http.StatusOK,
	control.Valid:       http.StatusOK,
	control.Conflict:    http.StatusConflict,
	control.Rejected:    http.StatusUnprocessableEntity,
	control.Unavailable: http.StatusServiceUnavailable,
}

func (a *API) commands(w http.ResponseWriter, r *http.Request) {
	var request language.CommandRequest
	if err := decode(w, r, &request); err != nil {
		a.fail(w, r, http.StatusBadRequest, err)
		return
	}
	transaction, err := parseCommands(request)
	if err != nil {
		a.fail(w, r, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, err := a.run(ctx, operatorOf(r), request, transaction)
	if err != nil {
		a.unavailable(w, r, err)
		return
	}
	a.config.Logger.Info(
		"Answered a command", zap.String("operator", operatorOf(r)), zap.String("command-id", request.CommandID),
		zap.String("result", reply.Status), zap.Uint64("revision", reply.Revision),
	)
	respond(w, statusCodes[control.SubmitStatus(reply.Status)], reply)
}

func parseCommands(request language.CommandRequest) (language.Transaction, error) {
	if !commandID.MatchString(request.CommandID) {
		return language.Transaction{}, fault.New("read command", Malformed, "the command id has 8 to 64 letters, digits, - or _")
	}
	text, err := language.Parse(request.Text)
	if err != nil {
		return language.Transaction{}, err
	}
	if text.Transaction == nil {
		return language.Transaction{}, fault.New("read command", Malformed, "the text has no commands; queries go to /v1/queries")
	}
	return *text.Transaction, nil
}

// run translates the transaction against the newest configuration and submits it. Where the
// translation fails, an invalid change is submitted in its place: a resent command whose first run
// changed the configuration then still gets its first result, since results are found by command id
// before anything else is checked.
func (a *API) run(ctx context.Context, author string, request language.CommandRequest, t language.Transaction) (language.CommandReply, error) {
	state, err := a.query(ctx, control.QueryRequest{Configuration: true})
	if err != nil {
		return language.CommandReply{}, err
	}
	base := *state.Configuration
	submit := control.SubmitRequest{
		CommandID: request.CommandID, Author: author, Expected: base.Revision, Check: t.Check, Digest: digest(author, request),
	}
	if request.Expected != nil {
		submit.Expected = *request.Expected
	}
	changes, invalid := language.Changes(t, base)
	if invalid == nil {
		invalid = a.checkKeys(changes)
	}
	submit.Changes = changes
	if invalid != nil {
		submit.Changes = noChange
	}
	reply, err := a.config.Submitter.Submit(ctx, submit)
	if err != nil {
		return language.CommandReply{}, fault.Wrap(err, "submit", Unavailable, "the control quorum")
	}
	if reply.NotLeader {
		return language.CommandReply{}, &notLeader{leader: reply.Leader}
	}
	result := commandReply(reply)
	if invalid != nil && refusesNoChange(base, reply) {
		result.Message = invalid.Error()
	}
	if invalid == nil && reply.Status == control.Valid {
		result.Changes = bounded(language.Diff(base, changes))
	}
	return result, nil
}

// noChange stands for a transaction that cannot be translated. It is never valid.
var noChange = []configuration.Change{{}}

// refusesNoChange reports whether the reply is about noChange and not, for example, about a command
// id that was used before.
func refusesNoChange(base configuration.Configuration, reply control.SubmitReply) bool {
	_, err := base.With(noChange)
	return reply.Status == control.Rejected && err != nil && reply.Message == err.Error()
}

// digest identifies what the operator sent, so that a resend is told from another command with the
// same id. The revision in force when the request arrives is no part of it.
func digest(author string, request language.CommandRequest) []byte {
	expected := "newest"
	if request.Expected != nil {
		expected = strconv.FormatUint(*request.Expected, 10)
	}
	sum := sha256.Sum256([]byte(strings.Join([]string{author, expected, request.Text}, "\x00")))
	return sum[:]
}

func commandReply(reply control.SubmitReply) language.CommandReply {
	since := reply.Since
	since = since[max(0, len(since)-maxSince):]
	result := language.CommandReply{
		Status: string(reply.Status), Revision: reply.Revision, Message: reply.Message, InForce: reply.InForce,
	}
	for _, revision := range since {
		result.Since = append(result.Since, revisionReply(revision))
	}
	return result
}

func revisionReply(r configuration.Revision) language.RevisionReply {
	var lines []string
	for _, change := range r.Changes {
		lines = append(lines, language.Describe(change)...)
	}
	return language.RevisionReply{
		Revision: r.Number, Author: r.Author, Time: time.UnixMilli(r.Time).UTC().Format(time.RFC3339), Changes: bounded(lines),
	}
}

func bounded(lines []string) []string {
	if len(lines) <= maxLines {
		return lines
	}
	return append(lines[:maxLines:maxLines], "# further lines left out")
}
