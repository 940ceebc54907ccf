package command

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
)

// resourceFiles returns the files that the paths name, and the YAML and JSON files in the directories that
// they name, in the order of the paths.
func resourceFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		err := filepath.WalkDir(path, func(found string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			named := found == path // a file that a path names is read whatever its extension
			isResource := slices.Contains([]string{".yaml", ".yml", ".json"}, filepath.Ext(found))
			if !entry.IsDir() && (named || isResource) {
				files = append(files, found)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%w: no YAML or JSON file in %v", errUsage, paths)
	}
	return files, nil
}

// readDocuments decodes all files. Its findings are those of decoding; it does not validate the resources.
func readDocuments(paths []string) ([]v1.Document, v1.Findings, error) {
	files, err := resourceFiles(paths)
	if err != nil {
		return nil, nil, err
	}
	var documents []v1.Document
	var findings v1.Findings
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, err
		}
		decoded, found := v1.Decode(file, text)
		documents = append(documents, decoded...)
		findings = append(findings, found...)
	}
	return documents, findings, nil
}
