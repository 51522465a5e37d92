// Package operator is the HTTP interface towards operators.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
)

type fleet interface {
	Apply(ctx context.Context, text []byte) (uint64, error)
	Config() (note.Config, bool)
}

// Server answers operators.
type Server struct {
	fleet fleet
	mux   *http.ServeMux
}

// New returns a server.
func New(f fleet) *Server {
	s := &Server{fleet: f, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /note", s.apply)
	s.mux.HandleFunc("GET /config", s.config)
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

const maxNote = 4 << 20

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNote))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.fleet.Apply(r.Context(), text)
	var faults *ini.Faults
	var stale *note.Stale
	var conflict *platform.Conflict
	switch {
	case err == nil:
		reply(w, http.StatusOK, map[string]uint64{"revision": revision})
	case errors.As(err, &faults):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.As(err, &stale), errors.As(err, &conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	c, ok := s.fleet.Config()
	if !ok {
		http.Error(w, "no configuration has been accepted", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, c)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
