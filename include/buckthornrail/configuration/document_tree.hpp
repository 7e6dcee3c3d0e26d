/// @file
/// @brief A document that is changed by patches: its JSON tree and its typed form, kept in step.
#pragma once

#include "buckthornrail/configuration/document.hpp"

#include <memory>

namespace buckthornrail::configuration {

/// @ingroup configuration
class document_tree {
public:
    document_tree();
    document_tree(const document_tree& other);
    document_tree& operator=(const document_tree& other);
    document_tree(document_tree&&) noexcept;
    document_tree& operator=(document_tree&&) noexcept;
    ~document_tree();

    /// @brief Replaces everything. @return InvalidDocument, and nothing changed
    tl::expected<void, failure> assign(const std::string& text);

    /// @brief Applies a patch and validates the whole document. @return InvalidDocument, and nothing changed
    tl::expected<void, failure> patchAndValidate(const std::string& patch);

    /// @brief Applies a patch that the controllers have validated; only what it touches is read again.
    /// @return InvalidDocument when it doesn't fit; the tree is then not to be used any more
    tl::expected<void, failure> patchPrevalidated(const std::string& patch);

    [[nodiscard]] std::string text() const;
    [[nodiscard]] const document& current() const { return m_document; }

private:
    struct tree;
    std::unique_ptr<tree> m_tree;
    document m_document;
};

} // namespace buckthornrail::configuration
