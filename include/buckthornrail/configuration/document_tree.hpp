/// @file
/// @brief Document that is changed by JSON Patches, held both as a JSON tree and in typed form.
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

    /// @brief Replaces the whole document. @return InvalidDocument; nothing is changed then
    tl::expected<void, failure> assign(const std::string& text);

    /// @brief Applies a patch and validates the whole document. @return InvalidDocument; nothing is changed then
    tl::expected<void, failure> patchAndValidate(const std::string& patch);

    /// @brief Applies a patch that the controllers have validated. Only the entries that it changes are parsed again.
    /// @return InvalidDocument if it can't be applied; the tree must not be used any more then
    tl::expected<void, failure> patchPrevalidated(const std::string& patch);

    [[nodiscard]] std::string text() const;
    [[nodiscard]] const document& current() const { return m_document; }

private:
    struct tree;
    std::unique_ptr<tree> m_tree;
    document m_document;
};

} // namespace buckthornrail::configuration
