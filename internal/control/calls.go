package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"gannetspur/internal/http1"
)

// Request paths.
const (
	pathReady   = "/ready"
	pathMetrics = "/metrics"
	pathDisable = "/engines/disable"
	pathEnable  = "/engines/enable"
)

const (
	typeJSON = "application/json"
	typeText = "text/plain"
)

// maxTargetBody bounds the body of a request that names an engine, in bytes.
const maxTargetBody = 4 << 10

// methods maps each path to its only allowed method.
var methods = map[string]string{
	pathReady:   http.MethodGet,
	pathMetrics: http.MethodGet,
	pathDisable: http.MethodPost,
	pathEnable:  http.MethodPost,
}

// handle carries out one request.
func (s *Server) handle(request http1.Request) (http1.Response, *http1.StatusError) {
	method, ok := methods[request.Path]
	if !ok {
		return http1.Response{}, http1.NewStatusError(http.StatusNotFound, "unknown path: use /ready, /metrics, /engines/disable or /engines/enable")
	}
	if request.Method != method {
		return http1.Response{}, http1.NewStatusError(http.StatusMethodNotAllowed, "%s requires method %s", request.Path, method)
	}
	switch request.Path {
	case pathReady:
		if err := s.gateway.Ready(); err != nil {
			return http1.Response{}, http1.NewStatusError(http.StatusServiceUnavailable, "%s", err)
		}
	case pathMetrics:
		return http1.Response{Status: http.StatusOK, ContentType: typeText, Body: FormatStats(s.gateway.Stats())}, nil
	case pathDisable:
		return changeEngine(request.Body, s.gateway.DisableEngine)
	case pathEnable:
		return changeEngine(request.Body, s.gateway.EnableEngine)
	}
	return okResponse(), nil
}

// changeEngine calls change with the id of the engine that a request body names.
func changeEngine(body []byte, change func(id string) error) (http1.Response, *http1.StatusError) {
	id, fault := parseTarget(body)
	if fault != nil {
		return http1.Response{}, fault
	}
	if err := change(id); err != nil {
		return http1.Response{}, http1.NewStatusError(http.StatusNotFound, "%s", err)
	}
	return okResponse(), nil
}

// okResponse is the response to a request that needs no other body.
func okResponse() http1.Response {
	return http1.Response{Status: http.StatusOK, ContentType: typeJSON, Body: []byte("{}")}
}

// errorResponse reports an error to the client: {"error":"TEXT"}.
func errorResponse(fault *http1.StatusError) http1.Response {
	body, _ := json.Marshal(map[string]string{"error": fault.Message}) // marshaling a map of strings cannot fail
	return http1.Response{Status: fault.Status, ContentType: typeJSON, Body: body}
}

// parseTarget returns the engine id in a request body: {"target":"ID"}.
func parseTarget(body []byte) (string, *http1.StatusError) {
	if len(body) > maxTargetBody {
		return "", http1.NewStatusError(http.StatusRequestEntityTooLarge, "body exceeds %d bytes", maxTargetBody)
	}
	var message struct {
		Target *string `json:"target"`
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&message); err != nil {
		return "", http1.BadRequest("body is not {\"target\":\"ID\"}: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return "", http1.BadRequest("unexpected data after the JSON object in the body")
	}
	if message.Target == nil || *message.Target == "" {
		return "", http1.BadRequest("target: missing")
	}
	return *message.Target, nil
}
