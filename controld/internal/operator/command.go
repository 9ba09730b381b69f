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
	// maxConflictRevisions bounds the revisions that the reply to a conflict lists, newest last.
	maxConflictRevisions = 50
	// maxLines bounds the lines that a reply shows for a revision or a check.
	maxLines = 1000
)

var commandIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// statusCodes maps the results of a transaction to HTTP status codes.
var statusCodes = map[control.SubmitStatus]int{
	control.Accepted:    http.StatusOK,
	control.Valid:       http.StatusOK,
	control.Conflict:    http.StatusConflict,
	control.Rejected:    http.StatusUnprocessableEntity,
	control.Unavailable: http.StatusServiceUnavailable,
}

func (a *API) handleCommand(w http.ResponseWriter, r *http.Request) {
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
	reply, err := a.submitTransaction(ctx, operatorName(r), request, transaction)
	if err != nil {
		a.failUnavailable(w, r, err)
		return
	}
	a.config.Logger.Info(
		"Answered a command", zap.String("operator", operatorName(r)), zap.String("command-id", request.CommandID),
		zap.String("result", reply.Status), zap.Uint64("revision", reply.Revision),
	)
	respond(w, statusCodes[control.SubmitStatus(reply.Status)], reply)
}

func parseCommands(request language.CommandRequest) (language.Transaction, error) {
	if !commandIDPattern.MatchString(request.CommandID) {
		return language.Transaction{}, fault.New("read command", Malformed, "the command id has 8 to 64 letters, digits, - or _")
	}
	parsed, err := language.Parse(request.Text)
	if err != nil {
		return language.Transaction{}, err
	}
	if parsed.Transaction == nil {
		return language.Transaction{}, fault.New("read command", Malformed, "the text has no commands; queries go to /v1/queries")
	}
	return *parsed.Transaction, nil
}

// submitTransaction translates the transaction into changes of the newest configuration and submits them.
// If the translation fails, it submits an invalid change instead. The quorum looks up results by command
// id before any other check, so a resent command that can no longer be translated, because its first run
// changed the configuration, still gets its first result.
func (a *API) submitTransaction(ctx context.Context, author string, request language.CommandRequest, t language.Transaction) (language.CommandReply, error) {
	state, err := a.query(ctx, control.QueryRequest{Configuration: true})
	if err != nil {
		return language.CommandReply{}, err
	}
	base := *state.Configuration
	submitRequest := control.SubmitRequest{
		CommandID: request.CommandID, Author: author, Expected: base.Revision, Check: t.Check, Digest: digest(author, request),
	}
	if request.Expected != nil {
		submitRequest.Expected = *request.Expected
	}
	changes, invalidErr := language.Changes(t, base)
	if invalidErr == nil {
		invalidErr = a.checkKeys(changes)
	}
	if invalidErr == nil {
		invalidErr = a.checkDataCentres(changes)
	}
	submitRequest.Changes = changes
	if invalidErr != nil {
		submitRequest.Changes = invalidChanges
	}
	reply, err := a.config.Submitter.Submit(ctx, submitRequest)
	if err != nil {
		return language.CommandReply{}, fault.Wrap(err, "submit", Unavailable, "the control quorum")
	}
	if reply.NotLeader {
		return language.CommandReply{}, &notLeaderError{leader: reply.Leader}
	}
	result := commandReply(reply)
	if invalidErr != nil && rejectsInvalidChanges(base, reply) {
		result.Message = invalidErr.Error()
	}
	if invalidErr == nil && reply.Status == control.Valid {
		result.Changes = truncateLines(language.Diff(base, changes))
	}
	return result, nil
}

// invalidChanges replaces the changes of a transaction that cannot be translated. The quorum always
// rejects them.
var invalidChanges = []configuration.Change{{}}

// rejectsInvalidChanges reports whether the reply rejects invalidChanges and not, for example, a command id
// that was used before.
func rejectsInvalidChanges(base configuration.Configuration, reply control.SubmitReply) bool {
	_, err := base.With(invalidChanges)
	return reply.Status == control.Rejected && err != nil && reply.Message == err.Error()
}

// digest hashes what the operator sent, to distinguish a resent command from another one with the same id.
// It does not include the revision in force when the request arrives.
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
	since = since[max(0, len(since)-maxConflictRevisions):]
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
		Revision: r.Number, Author: r.Author, Time: time.UnixMilli(r.Time).UTC().Format(time.RFC3339), Changes: truncateLines(lines),
	}
}

func truncateLines(lines []string) []string {
	if len(lines) <= maxLines {
		return lines
	}
	return append(lines[:maxLines:maxLines], "# further lines left out")
}
