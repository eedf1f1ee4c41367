package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"gannetspur/internal/http1"
)

// The paths that operators call.
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

// maxTargetBody bounds the body of a call that names an engine, in bytes.
const maxTargetBody = 4 << 10

// methods are the methods of the paths.
var methods = map[string]string{
	pathReady:   http.MethodGet,
	pathMetrics: http.MethodGet,
	pathDisable: http.MethodPost,
	pathEnable:  http.MethodPost,
}

// answer carries out one call.
func (s *Server) answer(c http1.Request) (http1.Response, *http1.StatusError) {
	method, ok := methods[c.Path]
	if !ok {
		return http1.Response{}, http1.NewStatusError(http.StatusNotFound, "there are /ready, /metrics, /engines/disable and /engines/enable")
	}
	if c.Method != method {
		return http1.Response{}, http1.NewStatusError(http.StatusMethodNotAllowed, "%s is called by %s", c.Path, method)
	}
	switch c.Path {
	case pathReady:
		if err := s.gateway.Ready(); err != nil {
			return http1.Response{}, http1.NewStatusError(http.StatusServiceUnavailable, "%s", err)
		}
	case pathMetrics:
		return http1.Response{Status: http.StatusOK, ContentType: typeText, Body: FormatFigures(s.gateway.Figures())}, nil
	case pathDisable:
		return changeEngine(c.Body, s.gateway.DisableEngine)
	case pathEnable:
		return changeEngine(c.Body, s.gateway.EnableEngine)
	}
	return okAnswer(), nil
}

// changeEngine calls change with the engine that a body names.
func changeEngine(body []byte, change func(id string) error) (http1.Response, *http1.StatusError) {
	id, fault := parseTarget(body)
	if fault != nil {
		return http1.Response{}, fault
	}
	if err := change(id); err != nil {
		return http1.Response{}, http1.NewStatusError(http.StatusNotFound, "%s", err)
	}
	return okAnswer(), nil
}

func okAnswer() http1.Response {
	return http1.Response{Status: http.StatusOK, ContentType: typeJSON, Body: []byte("{}")}
}

// faultAnswer tells a caller what is wrong: {"error":"TEXT"}.
func faultAnswer(fault *http1.StatusError) http1.Response {
	body, _ := json.Marshal(map[string]string{"error": fault.Message}) // a map of strings never fails
	return http1.Response{Status: fault.Status, ContentType: typeJSON, Body: body}
}

// parseTarget reads the engine's id out of the body of a call: {"target":"ID"}.
func parseTarget(body []byte) (string, *http1.StatusError) {
	if len(body) > maxTargetBody {
		return "", http1.NewStatusError(http.StatusRequestEntityTooLarge, "the body is over %d bytes", maxTargetBody)
	}
	var call struct {
		Target *string `json:"target"`
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&call); err != nil {
		return "", http1.BadRequest("the body is not {\"target\":\"ID\"}: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return "", http1.BadRequest("something follows the body's object")
	}
	if call.Target == nil || *call.Target == "" {
		return "", http1.BadRequest("target: missing")
	}
	return *call.Target, nil
}
