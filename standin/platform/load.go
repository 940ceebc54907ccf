package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
)

// identity holds the fields of a resource that give its object's kind and name.
type identity struct {
	Kind     string `yaml:"kind"`
	Metadata struct {
		Name string `yaml:"name"`
	} `yaml:"metadata"`
}

// LoadDirectory stores the resources of all YAML and JSON files in a directory, not of its subdirectories.
func (p *Platform) LoadDirectory(directory string) error {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if !slices.Contains([]string{".yaml", ".yml", ".json"}, filepath.Ext(entry.Name())) {
			continue
		}
		if err := p.loadFile(filepath.Join(directory, entry.Name())); err != nil {
			return fmt.Errorf("%s: %w", entry.Name(), err)
		}
	}
	return nil
}

func (p *Platform) loadFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return p.Load(file)
}

var errNoKindOrName = errors.New("resource without kind or metadata.name")

// Load stores each document of a YAML stream as a resource. An error leaves the documents before it stored.
func (p *Platform) Load(source io.Reader) error {
	decoder := yaml.NewDecoder(source)
	for {
		var document yaml.MapSlice
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := p.loadDocument(document); err != nil {
			return err
		}
	}
}

func (p *Platform) loadDocument(document yaml.MapSlice) error {
	text, err := yaml.Marshal(document)
	if err != nil {
		return err
	}
	var id identity
	if err := yaml.Unmarshal(text, &id); err != nil {
		return err
	}
	if id.Kind == "" || id.Metadata.Name == "" {
		return errNoKindOrName
	}
	value, err := yaml.YAMLToJSON(text)
	if err != nil {
		return err
	}
	p.Put(id.Kind, id.Metadata.Name, json.RawMessage(value))
	return nil
}
